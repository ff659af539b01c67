/**
 * Outlier detection for the targets of a pool. A target whose failure rate is far above that of the other targets is
 * ejected for a time and returns after successful probes.
 * @packageDocumentation
 */
import type { Target } from "../pools/index.js";
import type { SlotUse } from "./slot-allocator.js";

/** Which requests a target may receive: any (`healthy`), one at a time (`probe`) or none (`ejected`). */
export type TargetHealthState = "healthy" | "probe" | "ejected";

/** Tracks the health of a pool's targets. */
export interface TargetHealth {
  /**
   * Records the result of using a slot and ejects the target when it has become an outlier.
   * @param instanceId - the target
   * @param verdict - `neutral` is ignored
   * @param pool - the pool's serving targets, with which the target is compared
   * @param now - current time in milliseconds since the epoch
   */
  record(instanceId: string, verdict: SlotUse["verdict"], pool: readonly Target[], now: number): void;
  /**
   * Returns the health state of a target.
   * @param instanceId - the target
   * @param now - current time in milliseconds since the epoch
   * @returns `healthy` for a target without records
   */
  stateOf(instanceId: string, now: number): TargetHealthState;
}

interface HealthRecord {
  /** Moving average of the failures among the recent uses, from 0 to 1. */
  failureShare: number;
  uses: number;
  /** End of the last ejection, in milliseconds since the epoch. */
  ejectedUntil: number;
  /** Consecutive ejections; each doubles the next ejection time. */
  ejections: number;
  /** Successful probes that are still needed to become healthy; 0 for a healthy target. */
  probesNeeded: number;
}

/** Weight of the newest use in the moving average of failures. */
const smoothingFactor = 0.2;
/** Uses that the target, and all other targets together, need before they are compared. */
const minimumUses = 5;
const ejectionFailureShare = 0.5;
/** How far a target's failure share must be above the mean of the other targets. */
const ejectionMargin = 0.3;
/** Maximum share of a pool's and of a rack's targets that are ejected or probed; at least one may be. */
const maximumEjectedPoolShare = 0.34;
const maximumEjectedRackShare = 0.5;
const firstEjectionMilliseconds = 2_000;
const maximumEjectionMilliseconds = 60_000;
const probesToRecover = 3;

/**
 * Creates a health tracker.
 * @returns a tracker that reports every target as healthy
 */
export function createTargetHealth(): TargetHealth {
  const records = new Map<string, HealthRecord>();
  const recordOf = (instanceId: string): HealthRecord => {
    const existing = records.get(instanceId);
    if (existing !== undefined) return existing;
    const created = { failureShare: 0, uses: 0, ejectedUntil: 0, ejections: 0, probesNeeded: 0 };
    records.set(instanceId, created);
    return created;
  };
  const isEjectedOrProbing = (instanceId: string): boolean =>
    (records.get(instanceId)?.probesNeeded ?? 0) > 0;

  const mayEject = (instanceId: string, pool: readonly Target[]): boolean => {
    const target = pool.find((each) => each.instanceId === instanceId);
    if (target === undefined) return false;
    const rack = pool.filter((each) => each.rack === target.rack);
    return (
      isBelowEjectionLimit(pool, isEjectedOrProbing, maximumEjectedPoolShare) &&
      isBelowEjectionLimit(rack, isEjectedOrProbing, maximumEjectedRackShare)
    );
  };

  const isOutlier = (instanceId: string, pool: readonly Target[]): boolean => {
    const { failureShare, uses } = recordOf(instanceId);
    if (uses < minimumUses || failureShare < ejectionFailureShare) return false;
    const others = pool.filter(
      (each) => each.instanceId !== instanceId && !isEjectedOrProbing(each.instanceId),
    );
    const compared = others.filter((each) => recordOf(each.instanceId).uses > 0);
    const comparedUses = compared.reduce((total, each) => total + recordOf(each.instanceId).uses, 0);
    if (comparedUses < minimumUses) return false;
    const sum = compared.reduce((total, each) => total + recordOf(each.instanceId).failureShare, 0);
    return failureShare > sum / compared.length + ejectionMargin;
  };

  return {
    record: (instanceId, verdict, pool, now) => {
      if (verdict === "neutral") return;
      const record = recordOf(instanceId);
      record.uses += 1;
      const failure = verdict === "target-fault" ? 1 : 0;
      // The arithmetic mean of the first uses, then an exponential moving average.
      const weight = Math.max(smoothingFactor, 1 / record.uses);
      record.failureShare += weight * (failure - record.failureShare);
      if (record.probesNeeded > 0) recordProbe(record, verdict, now);
      else if (isOutlier(instanceId, pool) && mayEject(instanceId, pool)) eject(record, now);
    },
    stateOf: (instanceId, now) => {
      const record = records.get(instanceId);
      if (record === undefined || record.probesNeeded === 0) return "healthy";
      return record.ejectedUntil > now ? "ejected" : "probe";
    },
  };
}

function isBelowEjectionLimit(
  targets: readonly Target[],
  isOut: (instanceId: string) => boolean,
  maximumShare: number,
): boolean {
  const ejectedCount = targets.filter((each) => isOut(each.instanceId)).length;
  return ejectedCount < Math.max(1, Math.floor(targets.length * maximumShare));
}

function recordProbe(record: HealthRecord, verdict: SlotUse["verdict"], now: number): void {
  // A use that ends during the ejection was granted before it and is not a probe.
  if (record.ejectedUntil > now) return;
  if (verdict === "target-fault") {
    eject(record, now);
    return;
  }
  record.probesNeeded -= 1;
  if (record.probesNeeded > 0) return;
  record.failureShare = 0;
  record.uses = 0;
  record.ejections = 0;
}

function eject(record: HealthRecord, now: number): void {
  const milliseconds = firstEjectionMilliseconds * 2 ** record.ejections;
  record.ejectedUntil = now + Math.min(milliseconds, maximumEjectionMilliseconds);
  record.ejections += 1;
  record.probesNeeded = probesToRecover;
}
