/**
 * Granting of target slots to requests.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { Target } from "../pools/index.js";

/** How soon a request wants to start compared with others. */
export type Urgency = "urgent" | "normal";

/** Asks for a slot on any target of a pool. */
export interface SlotRequest {
  readonly requestId: string;
  readonly pool: string;
  readonly service: string;
  readonly operation: string;
  readonly team: string;
  readonly urgency: Urgency;
  /** When the caller gives up, in milliseconds since the epoch. */
  readonly deadlineAt: number;
  /** Instances that the request was on already. */
  readonly excludedInstances: readonly string[];
}

/** Why no slot was granted. */
export type SlotRefusalReason = "overloaded" | "no-target" | "deadline-passed" | "cancelled" | "unavailable";

/** No slot was granted; the request was not run. */
export interface SlotRefusal {
  readonly reason: SlotRefusalReason;
  /** After how long the caller should ask again. */
  readonly retryAfterMilliseconds: number;
}

/** A slot on a target, held until it is released. */
export interface SlotGrant {
  readonly grantId: string;
  readonly target: Target;
}

/** What came of a granted slot. */
export interface SlotUse {
  /** `ok` answered, `target-fault` failed in a way that speaks against the target, `neutral` says nothing of it. */
  readonly verdict: "ok" | "target-fault" | "neutral";
  readonly runMilliseconds: number;
}

/** Grants slots. */
export interface SlotAllocator {
  /**
   * Waits for a slot.
   * @param ask - what is asked for
   * @param signal - aborts the wait when the caller cancelled
   * @returns a grant that must be released, or a refusal
   */
  acquire(slotRequest: SlotRequest, signal: AbortSignal): Promise<Either<SlotRefusal, SlotGrant>>;
  /** Gives a slot back. */
  release(grant: SlotGrant, use: SlotUse): void;
  /** Slots that this entry holds on an instance. */
  inProgress(instanceId: string): number;
  /** Ends timers; waiting requests are refused. */
  close(): void;
}
