/**
 * Relays orders for targets through other entries: the owner of a large pool decides, and many entries make its calls.
 * @packageDocumentation
 */
export { startOrderRelay, type OrderRelayOptions } from "./order-relay.js";
export { chooseRelays, type RelayCandidate, type RelayChoiceInput } from "./relay-choice.js";
export { createRelayDirectory, type RelayDirectory, type RelayDirectoryOptions } from "./relay-directory.js";
export { RelayedTargetOrders, type RelayedOrdersOptions } from "./relayed-orders.js";
export { createTransitClock, type TransitClock } from "./transit-clock.js";
