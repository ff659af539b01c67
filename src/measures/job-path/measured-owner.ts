/**
 * One owner in this process, over stand-ins that cost little.
 * @packageDocumentation
 */
import { entryPrefix, OwnershipManager, openEntrySession, type PoolOwner } from "../../pool-owners/index.js";
import { delay } from "../../shared/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import { coresPerTask, measuredPool, runMilliseconds, type OwnerLoad } from "./load.js";
import { addWaitingJobs, playLoad, storeEndedJobs, tasksPerJob } from "./load.js";
import { sampleParts, type PartShares } from "./parts.js";
import { createMeasuredTargets, type MeasuredTargets } from "./targets.js";

/** What an owner is measured with. */
export interface OwnerSize extends OwnerLoad {
  readonly targets: number;
  /** Open jobs that find no place meanwhile. */
  readonly waitingJobs: number;
  /** Jobs that have ended and are still answered for. */
  readonly endedJobs: number;
}

/** What an owner took. */
export interface OwnerCost {
  /** Of user and system, those of the stand-ins included. */
  readonly shareOfCore: number;
  readonly microsecondsPerTask: number;
  /** From acceptance to a job's first start, in milliseconds. */
  readonly waits: readonly number[];
  /** Which parts took it; undefined when that was not sampled. */
  readonly parts: PartShares | undefined;
}

const seconds = 3;
const warmUpSeconds = 1;
const settleMilliseconds = 300;
const pollMilliseconds = 10;
const leaseMilliseconds = 3_000;
const runLeaseMilliseconds = 5_000;
const retentionMilliseconds = 120_000;
/** Room of the pool in relation to what its jobs take. */
const spareFactor = 1.4;
const smallestPoolCores = 320;
const microsecondsPerSecond = 1e6;

/**
 * Measures an owner in this process.
 * @param size - its load
 * @param isSampled - whether to sample which part takes the time
 * @returns its processor time
 */
export async function measureOwner(size: OwnerSize, isSampled: boolean): Promise<OwnerCost> {
  const targets = createMeasuredTargets(measuredPool, size.targets, chooseCores(size), runMilliseconds);
  const { owner, close } = await startOwner(targets, size.endedJobs);
  await addWaitingJobs(owner, size.waitingJobs);
  await playLoad(owner, size, warmUpSeconds, "warm");
  const measure = async (): Promise<{ used: NodeJS.CpuUsage; acceptedAt: Map<string, number> }> => {
    const before = process.cpuUsage();
    const acceptedAt = await playLoad(owner, size, seconds, "job");
    return { used: process.cpuUsage(before), acceptedAt };
  };
  const { value, shares } = isSampled
    ? await sampleParts(measure)
    : { value: await measure(), shares: undefined };
  await delay(2 * runMilliseconds);
  await close();
  const microseconds = value.used.user + value.used.system;
  const waits = [...value.acceptedAt].flatMap(([jobId, at]) => {
    const first = targets.startedAt.get(`${jobId}.0.0.0`);
    return first === undefined ? [] : [Math.max(0, first - at)];
  });
  return {
    shareOfCore: microseconds / (seconds * microsecondsPerSecond),
    microsecondsPerTask: microseconds / (size.jobsPerSecond * seconds * tasksPerJob),
    waits,
    parts: shares,
  };
}

function chooseCores({ jobsPerSecond, targets }: OwnerSize): number {
  const busyCores = (jobsPerSecond * tasksPerJob * coresPerTask * runMilliseconds) / 1_000;
  return Math.ceil(Math.max(smallestPoolCores, busyCores * spareFactor) / targets);
}

async function startOwner(
  { listed, orders }: MeasuredTargets,
  endedJobs: number,
): Promise<{ owner: PoolOwner; close: () => Promise<void> }> {
  const engine = createStoreEngine();
  const store = new MemoryStoreClient(engine, createStoreFaults());
  await storeEndedJobs(store, endedJobs);
  // Lines are written as in a running entry, and thrown away.
  const log = createLog("info", () => undefined);
  const self = { entryId: "a", incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" };
  const metrics = createMetrics();
  const listedRevision = (): number | undefined => engine.range(`${entryPrefix}a`)[0]?.revision;
  const session = openEntrySession({ store, self, listedRevision, log, metrics, leaseMilliseconds });
  const keeper = new OwnershipManager({
    entryId: "a",
    self,
    store,
    session,
    directory: { entries: () => new Map([["a", 1]]), owners: () => new Map(), ageMilliseconds: () => 0 },
    pools: () => [measuredPool],
    listedTargets: () => listed,
    orders,
    advice: undefined,
    log,
    metrics,
    runLeaseMilliseconds,
    longestRunLeaseMilliseconds: runLeaseMilliseconds,
    retentionMilliseconds,
    settleMilliseconds: 0,
  });
  void keeper.run();
  while (keeper.owner(measuredPool) === undefined) await delay(pollMilliseconds);
  const owner = keeper.owner(measuredPool);
  if (owner === undefined) throw new Error("the pool has no owner");
  await delay(settleMilliseconds);
  const close = async (): Promise<void> => {
    await keeper.close();
    await session.close();
    engine.close();
  };
  return { owner, close };
}
