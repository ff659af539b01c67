/**
 * An ask for a slot as the pool's owner sees it.
 * @packageDocumentation
 */
import type { Urgency } from "./slot-allocator.js";

/** An ask as its owner sees it. */
export interface OwnerAsk {
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
