/**
 * Entries that own pools, with a shared in-memory store and a fleet of stand-in targets, without a network.
 * @packageDocumentation
 */
import type { JobDefinition, QueueTerms, StepDefinition } from "../../jobs/index.js";
import {
  MemoryStoreClient,
  createStoreEngine,
  createStoreFaults,
  startJobFleet,
} from "../../stand-ins/index.js";
import type { JobFleet, JobFleetOptions, StoreEngine, StoreFaults } from "../../stand-ins/index.js";
import { followPrefix, type TransactionalStore } from "../../store/index.js";
import { createLog, createMetrics, type Metrics } from "../../telemetry/index.js";
import type { OrderHeader, TargetOrders } from "../../task-runs/index.js";
import type { WorkspaceTable } from "../../workspaces/index.js";
import { AdviceRequests } from "../advice-requests.js";
import type { AdviceService } from "../advice-service.js";
import { openEntrySession, type EntrySession } from "../entry-session.js";
import { entryPrefix, membersPrefix } from "../member-registration.js";
import { OwnershipManager } from "../ownership-manager.js";
import { decodeOwnerRecord, ownerPrefix } from "../owner-record.js";
import type { PoolOwner } from "../pool-owner.js";
import { StoredTargetsCheck } from "./stored-targets-check.js";

/** The pool that the tests use. */
export const pool = "presses";

/** A running entry. */
export interface TestEntry {
  readonly ownershipManager: OwnershipManager;
  readonly session: EntrySession;
  /** Faults of this entry's path to the store. */
  readonly faults: StoreFaults;
  /** Log lines so far. */
  readonly lines: string[];
  readonly metrics: Metrics;
  /** Stops the entry as a crash would: it releases nothing and loses the store. */
  crash(): void;
  /** Stops the entry as at the end of a process: what is pending is stored and the entry's lease is returned. */
  stop(): Promise<void>;
}

/** A store, fleets of targets, and the entries that a test starts. */
export interface OwnerFixture {
  /** The targets of `pool`. */
  readonly fleet: JobFleet;
  /** The targets of all pools. */
  readonly fleets: ReadonlyMap<string, JobFleet>;
  readonly engine: StoreEngine;
  /** Starts an entry for `pool`, or for the pools given. `adapt` may wrap its store. */
  startEntry(
    entryId: string,
    adapt?: (store: TransactionalStore) => TransactionalStore,
    pools?: readonly string[],
  ): TestEntry;
  /** Waits until an entry owns `pool`, or the pool given. */
  owner(entry: TestEntry, name?: string): Promise<PoolOwner>;
  /** The check of the stored takeover states, which the entries' orders and writes have passed. */
  readonly storedTargets: StoredTargetsCheck;
  close(): void;
}

/** Settings of a fixture. */
export interface OwnerFixtureOptions extends Omit<JobFleetOptions, "pool"> {
  /** Pools in addition to `pool`, each with a fleet of the same size. */
  readonly otherPools?: readonly string[];
  readonly workspaces?: () => WorkspaceTable | undefined;
  /** Decides on which targets the steps of queues that need advice may run. */
  readonly advice?: AdviceService;
}

const leaseMilliseconds = 1_000;
const followMilliseconds = 20;

/**
 * Starts the store and the fleets.
 * @param options - size and behaviour of the fleets, further pools, and workspaces
 * @returns the fixture
 */
export function startOwnerFixture(options: OwnerFixtureOptions): OwnerFixture {
  const engine = createStoreEngine();
  const { otherPools = [], workspaces, advice, ...size } = options;
  const fleet = startJobFleet({ pool, ...size });
  const others = otherPools.map((other) => [other, startJobFleet({ pool: other, ...size })] as const);
  const fleets = new Map([[pool, fleet] as const, ...others]);
  const entries: TestEntry[] = [];
  const storedTargets = new StoredTargetsCheck(engine, fleets);
  const orders = storedTargets.watch(joinOrders(fleets));
  return {
    engine,
    storedTargets,
    fleet,
    fleets,
    startEntry: (entryId, adapt = (store) => store, pools = [pool]) => {
      const entry = startEntry({ entryId, engine, fleets, orders, adapt, pools, workspaces, advice });
      entries.push(entry);
      return entry;
    },
    owner: async ({ ownershipManager }, name = pool) => waitFor(() => ownershipManager.owner(name)),
    close: () => {
      storedTargets.close();
      for (const entry of entries) entry.crash();
      for (const each of fleets.values()) each.close();
      engine.close();
    },
  };
}

interface EntryParts {
  readonly entryId: string;
  readonly engine: StoreEngine;
  readonly fleets: ReadonlyMap<string, JobFleet>;
  readonly orders: TargetOrders;
  readonly adapt: (store: TransactionalStore) => TransactionalStore;
  readonly pools: readonly string[];
  readonly workspaces: OwnerFixtureOptions["workspaces"];
  readonly advice: AdviceService | undefined;
}

function failWithoutFleet(): never {
  throw new Error("the fixture has no fleet");
}

/** Routes each order to the fleet of its target. */
function joinOrders(fleets: ReadonlyMap<string, JobFleet>): TargetOrders {
  const find = ({ target }: OrderHeader): TargetOrders => {
    const fleet = [...fleets.values()].find(({ targets }) => targets.has(target.targetId));
    // For a target that has been removed any fleet answers that the target is absent.
    return (fleet ?? [...fleets.values()][0])?.orders ?? failWithoutFleet();
  };
  return {
    start: async (order) => find(order).start(order),
    stop: async (order) => find(order).stop(order),
    pace: async (order) => find(order).pace(order),
    renew: async (order) => find(order).renew(order),
  };
}

function startEntry({
  entryId,
  engine,
  fleets,
  orders,
  adapt,
  pools,
  workspaces,
  advice,
}: EntryParts): TestEntry {
  const faults = createStoreFaults();
  const store = adapt(new MemoryStoreClient(engine, faults));
  const lines: string[] = [];
  const log = createLog("info", (line) => lines.push(line));
  const metrics = createMetrics();
  const self = { entryId, incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" };
  const listedRevision = (): number | undefined =>
    members.records().get(`${entryPrefix}${entryId}`)?.revision;
  const session = openEntrySession({ store, self, listedRevision, log, metrics, leaseMilliseconds });
  const members = followPrefix({
    store,
    prefix: membersPrefix,
    waitMilliseconds: followMilliseconds,
    pauseMilliseconds: () => 1,
    onChanged: () => {
      ownershipManager.hurry();
    },
  });
  const owners = (): Map<
    string,
    NonNullable<ReturnType<typeof decodeOwnerRecord>> & { revision: number }
  > => {
    const found = [...members.records().values()].flatMap(({ key, value, revision }) => {
      const record = key.startsWith(ownerPrefix) ? decodeOwnerRecord(value) : undefined;
      return record === undefined ? [] : [[key.slice(ownerPrefix.length), { ...record, revision }] as const];
    });
    return new Map(found);
  };
  const ownershipManager = new OwnershipManager({
    entryId,
    self,
    store,
    session,
    directory: {
      entries: () => new Map([[entryId, 1]]),
      owners,
      ageMilliseconds: () => members.ageMilliseconds(),
    },
    pools: () => pools,
    workspaces,
    listedTargets: (name) => {
      const targets = [...(fleets.get(name)?.targets.values() ?? [])].map((target) => target.describe());
      const listed = targets.filter((target) => target.pool === name);
      return new Map(listed.map((target) => [target.targetId, target] as const));
    },
    orders,
    advice: advice === undefined ? undefined : new AdviceRequests(advice),
    log,
    metrics,
    runLeaseMilliseconds: 1_500,
    longestRunLeaseMilliseconds: fleets.get(pool)?.world.longestLeaseMilliseconds ?? 0,
    retentionMilliseconds: 60_000,
    settleMilliseconds: 0,
  });
  void ownershipManager.run();
  const follow = setInterval(() => {
    ownershipManager.followTargets();
  }, followMilliseconds);
  const crash = (): void => {
    clearInterval(follow);
    faults.mode = "down";
    members.close();
    void ownershipManager.close();
    void session.close();
  };
  const stop = async (): Promise<void> => {
    clearInterval(follow);
    await ownershipManager.close();
    await session.close();
    members.close();
  };
  return { ownershipManager, session, faults, lines, metrics, crash, stop };
}

/**
 * Polls every 5 ms until a value is found; fails after 2,000 attempts.
 * @param find - returns the value; undefined or false while there is none
 * @returns the value
 */
export async function waitFor<Found>(find: () => Found | undefined | false): Promise<Found> {
  for (let attempt = 0; attempt < 2_000; attempt += 1) {
    const found = find();
    if (found !== undefined && found !== false) return found;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  throw new Error("the expected value was not found within 2,000 attempts");
}

/** Terms of the queue that the tests use. */
export const terms: QueueTerms = {
  queue: "quotes",
  pool,
  priority: 0,
  attempts: 2,
  slackFactor: 3,
  objectiveMilliseconds: 5_000,
  needsAdvice: false,
};

/**
 * Creates a step.
 * @param changes - differences from a step of two short tasks of one core each
 * @returns the step
 */
export function createStep(changes: Partial<StepDefinition> = {}): StepDefinition {
  return {
    taskCount: 2,
    resources: { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 },
    estimateMilliseconds: 50,
    after: [],
    isCheckpointed: false,
    isGang: false,
    prefersOneRack: false,
    allowsCopies: false,
    isLasting: false,
    isFiller: false,
    ...changes,
  };
}

/**
 * Creates a submission.
 * @param jobId - the job
 * @param steps - its steps
 * @returns the submission, with a deadline of 3 s
 */
export function submission(
  jobId: string,
  ...steps: StepDefinition[]
): { jobId: string; terms: QueueTerms; definition: JobDefinition; deadlineMilliseconds: number } {
  return { jobId, terms, definition: { spec: "", steps }, deadlineMilliseconds: 3_000 };
}
