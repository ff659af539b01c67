/**
 * Stand-in for the platform's key-value service.
 * @packageDocumentation
 */
export { createStoreEngine, type StoreEngine, type CallCounts } from "./engine.js";
export { createStoreFaults, type StoreFaults } from "./faults.js";
export { startStoreStandIn, type StoreStandIn } from "./http.js";
export { MemoryStoreClient } from "./memory-client.js";
