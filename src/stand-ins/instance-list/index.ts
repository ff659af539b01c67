/**
 * Stand-in for the platform's list of instances.
 * @packageDocumentation
 */
export { startInstanceListStandIn, type InstanceListStandIn } from "./instance-list.js";
