/**
 * Stand-in for the platform's balancer.
 * @packageDocumentation
 */
export { startBalancerStandIn, type BalancerStandIn } from "./balancer.js";
