/**
 * Calls to the store through other entries, for an entry that the store turns away.
 * @packageDocumentation
 */
export { RelayedStore, type RelayedStoreOptions } from "./relayed-store.js";
export { createStorePath, type StorePath } from "./store-path.js";
export { startStoreRelay, type StoreRelayOptions } from "./store-relay.js";
