/**
 * The owner's record of a slot request.
 * @packageDocumentation
 */
import type { Urgency } from "./slot-allocator.js";

/** A slot request as queued by the pool's owner. */
export interface OwnerSlotRequest {
  /** Identifier that is unique across all entries. */
  readonly askId: string;
  /** The requesting entry. */
  readonly entryId: string;
  /** Availability zone of the requesting entry. */
  readonly zone: string;
  readonly team: string;
  readonly urgency: Urgency;
  readonly operationKey: string;
  /** Time of arrival on this entry's clock, in milliseconds since the epoch. */
  readonly arrivedAt: number;
  /** Deadline on this entry's clock, in milliseconds since the epoch. */
  readonly deadlineAt: number;
  readonly excludedInstances: readonly string[];
}
