/**
 * Relays calls to the store through other entries, for an entry without a direct path to the store.
 * @packageDocumentation
 */
export { RelayedStore, type RelayedStoreOptions } from "./relayed-store.js";
export { createStorePath, type StorePath } from "./store-path.js";
export { startStoreRelay, type StoreRelayOptions } from "./store-relay.js";
