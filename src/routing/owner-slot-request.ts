/**
 * A request for a slot as the pool's owner sees it.
 * @packageDocumentation
 */
import type { Urgency } from "./slot-allocator.js";

/** A request as its owner sees it. */
export interface OwnerSlotRequest {
  /** Unique over all entries. */
  readonly askId: string;
  readonly entryId: string;
  /** Availability zone of the entry that asks. */
  readonly zone: string;
  readonly team: string;
  readonly urgency: Urgency;
  readonly operationKey: string;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly excludedInstances: readonly string[];
}
