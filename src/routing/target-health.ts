/**
 * Health of targets, judged by comparison with their pool. A target that fails far more than its pool is ejected
 * for a while and comes back through probes.
 * @packageDocumentation
 */
import type { Target } from "../pools/index.js";
import type { SlotUse } from "./slot-allocator.js";

/** What a target may be given: any request, one probe at a time, or nothing. */
export type TargetFitness = "healthy" | "probe" | "ejected";

/** Health of the targets of a pool. */
export interface TargetHealth {
  /**
   * Records what came of a slot.
   * @param instanceId - the target
   * @param verdict - what the use says of the target
   * @param pool - the pool's serving targets
   * @param now - the present time in milliseconds since the epoch
   */
  record(instanceId: string, verdict: SlotUse["verdict"], pool: readonly Target[], now: number): void;
  /**
   * Judges a target.
   * @param instanceId - the target
   * @param now - the present time in milliseconds since the epoch
   * @returns what it may be given
   */
  fitness(instanceId: string, now: number): TargetFitness;
}

interface HealthRecord {
  /** Failures among the recent uses, from 0 to 1. */
  failureShare: number;
  uses: number;
  ejectedUntil: number;
  ejections: number;
  /** Successful probes still needed; 0 when not ejected. */
  probesNeeded: number;
}

const smoothing = 0.2;
const minimumUses = 5;
const ejectionFailureShare = 0.5;
/** How far above the others' mean a target's share of failures must lie. */
const ejectionMargin = 0.3;
const maximumEjectedPoolShare = 0.34;
const maximumEjectedRackShare = 0.5;
const firstEjectionMilliseconds = 2_000;
const maximumEjectionMilliseconds = 60_000;
const probesToReturn = 3;

/**
 * Creates an empty record of health.
 * @returns the record
 */
export function createTargetHealth(): TargetHealth {
  const records = new Map<string, HealthRecord>();
  const find = (instanceId: string): HealthRecord => {
    const existing = records.get(instanceId);
    if (existing !== undefined) return existing;
    const created = { failureShare: 0, uses: 0, ejectedUntil: 0, ejections: 0, probesNeeded: 0 };
    records.set(instanceId, created);
    return created;
  };
  const isOut = (instanceId: string): boolean => (records.get(instanceId)?.probesNeeded ?? 0) > 0;

  const mayEject = (instanceId: string, pool: readonly Target[]): boolean => {
    const target = pool.find((each) => each.instanceId === instanceId);
    if (target === undefined) return false;
    const rack = pool.filter((each) => each.rack === target.rack);
    return hasRoom(pool, isOut, maximumEjectedPoolShare) && hasRoom(rack, isOut, maximumEjectedRackShare);
  };

  const isOutlier = (instanceId: string, pool: readonly Target[]): boolean => {
    const { failureShare, uses } = find(instanceId);
    if (uses < minimumUses || failureShare < ejectionFailureShare) return false;
    const others = pool.filter((each) => each.instanceId !== instanceId && !isOut(each.instanceId));
    const compared = others.filter((each) => find(each.instanceId).uses > 0);
    const comparedUses = compared.reduce((total, each) => total + find(each.instanceId).uses, 0);
    if (comparedUses < minimumUses) return false;
    const sum = compared.reduce((total, each) => total + find(each.instanceId).failureShare, 0);
    return failureShare > sum / compared.length + ejectionMargin;
  };

  return {
    record: (instanceId, verdict, pool, now) => {
      if (verdict === "neutral") return;
      const record = find(instanceId);
      record.uses += 1;
      const failure = verdict === "target-fault" ? 1 : 0;
      // The plain mean of the first uses, then a moving one.
      const weight = Math.max(smoothing, 1 / record.uses);
      record.failureShare += weight * (failure - record.failureShare);
      if (record.probesNeeded > 0) recordProbe(record, verdict, now);
      else if (isOutlier(instanceId, pool) && mayEject(instanceId, pool)) eject(record, now);
    },
    fitness: (instanceId, now) => {
      const record = records.get(instanceId);
      if (record === undefined || record.probesNeeded === 0) return "healthy";
      return record.ejectedUntil > now ? "ejected" : "probe";
    },
  };
}

function hasRoom(
  targets: readonly Target[],
  isOut: (instanceId: string) => boolean,
  maximumShare: number,
): boolean {
  const out = targets.filter((each) => isOut(each.instanceId)).length;
  return out < Math.max(1, Math.floor(targets.length * maximumShare));
}

function recordProbe(record: HealthRecord, verdict: SlotUse["verdict"], now: number): void {
  // Uses that were granted before the ejection end during it and say nothing new.
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
  record.probesNeeded = probesToReturn;
}
