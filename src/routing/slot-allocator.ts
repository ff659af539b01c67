/**
 * The interface by which requests acquire execution slots on targets.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { Target } from "../pools/index.js";

/** Scheduling class of a request: waiting `urgent` requests are granted slots before `normal` ones. */
export type Urgency = "urgent" | "normal";

/** A request for a slot on any target of a pool. */
export interface SlotRequest {
  readonly requestId: string;
  readonly pool: string;
  readonly service: string;
  readonly operation: string;
  readonly team: string;
  readonly urgency: Urgency;
  /** Time at which the caller stops waiting, in milliseconds since the epoch. */
  readonly deadlineAt: number;
  /** Instances that already ran an attempt of the request and must not be chosen again. */
  readonly excludedInstances: readonly string[];
}

/** Reason for which a slot request was refused. */
export type SlotRefusalReason = "overloaded" | "no-target" | "deadline-passed" | "cancelled" | "unavailable";

/** Refusal of a slot request. The request did not run on any target. */
export interface SlotRefusal {
  readonly reason: SlotRefusalReason;
  /** Delay after which the caller should retry; 0 when a retry is pointless. */
  readonly retryAfterMilliseconds: number;
}

/** A slot on a target. The holder keeps it until {@link SlotAllocator.release}. */
export interface SlotGrant {
  readonly grantId: string;
  readonly target: Target;
}

/** Result of using a granted slot. */
export interface SlotUse {
  /**
   * `ok`: the target answered. `target-fault`: the request failed and the failure counts against the target's health.
   * `neutral`: the result does not affect the target's health.
   */
  readonly verdict: "ok" | "target-fault" | "neutral";
  readonly runMilliseconds: number;
}

/** Grants slots on targets and takes them back. */
export interface SlotAllocator {
  /**
   * Waits for a slot.
   * @param slotRequest - the pool, deadline and exclusions of the request
   * @param signal - aborts the wait when the caller cancels; the request is then refused as `cancelled`
   * @returns a grant, which the caller must release, or a refusal
   */
  acquire(slotRequest: SlotRequest, signal: AbortSignal): Promise<Either<SlotRefusal, SlotGrant>>;
  /** Returns a granted slot and reports the result of its use. */
  release(grant: SlotGrant, use: SlotUse): void;
  /** Number of slots that this entry holds on an instance. */
  inProgress(instanceId: string): number;
  /** Stops the timers. Implementations with a queue refuse the waiting requests. */
  close(): void;
}
