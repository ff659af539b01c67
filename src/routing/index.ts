/**
 * Which target a request goes to.
 * @packageDocumentation
 */
export type {
  SlotAllocator,
  SlotRequest,
  SlotGrant,
  SlotRefusal,
  SlotRefusalReason,
  SlotUse,
  Urgency,
} from "./slot-allocator.js";
export { IndependentAllocator, type IndependentAllocatorOptions } from "./independent-allocator.js";
export { OwnerAllocator, type OwnerAllocatorOptions } from "./owner-allocator.js";
export { ConfirmedViewAllocator } from "./confirmed-view-allocator.js";
