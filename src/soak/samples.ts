/**
 * Samples the allocated capacity of each pool.
 * @packageDocumentation
 */
import type { PoolSample, SoakHistory } from "./history.js";
import { readClock } from "./clock.js";
import type { TargetFleet } from "./targets.js";

/** Records one sample for each pool; only ready targets count. */
export function samplePools(history: SoakHistory, targets: TargetFleet): void {
  const at = readClock();
  const used = new Map<string, number>();
  for (const { targetId, task, to } of history.runs) {
    if (to !== undefined) continue;
    const [jobId = "", , step = "0"] = task.split(".");
    const needs = history.jobs.get(jobId)?.definition.steps[Number(step)]?.resources.cpuMillicores ?? 0;
    used.set(targetId, (used.get(targetId) ?? 0) + needs);
  }
  const samples = new Map<string, PoolSample>();
  for (const { target } of targets.up()) {
    const { targetId, pool, capacity, state } = target.describe();
    if (state !== "ready") continue;
    const usedOnTarget = used.get(targetId) ?? 0;
    const free = capacity.cpuMillicores - usedOnTarget;
    const earlier = samples.get(pool);
    samples.set(pool, {
      at,
      pool,
      totalMillicores: (earlier?.totalMillicores ?? 0) + capacity.cpuMillicores,
      usedMillicores: (earlier?.usedMillicores ?? 0) + usedOnTarget,
      largestFreeMillicores: Math.max(earlier?.largestFreeMillicores ?? 0, free),
    });
  }
  history.samples.push(...samples.values());
}
