/**
 * Splits the instances of a wave into batches.
 * @packageDocumentation
 */
import type { Target } from "../pools/index.js";
import type { WaveBatch, WaveLimits } from "./wave-record.js";

/**
 * Plans the batches by zone, then by rack. The first batch has its own, usually smaller, size limit.
 * @param targets - the instances of the wave, in any order
 * @param limits - the largest sizes of the first and of later batches, in instances
 * @returns the batches in the order of execution; the instances of each are in one rack
 */
export function planBatches(targets: readonly Target[], limits: WaveLimits): WaveBatch[] {
  const ordered = [...targets].sort(compareTargets);
  const batches: { zone: string; rack: string; instanceIds: string[] }[] = [];
  for (const { zone, rack, instanceId } of ordered) {
    const last = batches.at(-1);
    const size = batches.length === 1 ? limits.firstBatchSize : limits.batchSize;
    const isOpen = last?.zone === zone && last.rack === rack && last.instanceIds.length < size;
    if (isOpen) last.instanceIds.push(instanceId);
    else batches.push({ zone, rack, instanceIds: [instanceId] });
  }
  return batches;
}

function compareTargets(left: Target, right: Target): number {
  return (
    left.zone.localeCompare(right.zone) ||
    left.rack.localeCompare(right.rack) ||
    left.instanceId.localeCompare(right.instanceId, "en", { numeric: true })
  );
}
