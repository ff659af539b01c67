/**
 * Request routing: grants each request a slot on a target of its pool.
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
