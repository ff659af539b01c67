/**
 * Stand-ins for the services of the platform, for tests, measurements and the demonstration.
 * @packageDocumentation
 */
export * from "./balancer/index.js";
export * from "./instance-list/index.js";
export * from "./store/index.js";
export * from "./target/index.js";
export * from "./fleet/index.js";
export * from "./job-targets/index.js";
export * from "./machines/index.js";
export * from "./proxy/index.js";
