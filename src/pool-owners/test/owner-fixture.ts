/**
 * Entries that own pools over one store and one fleet of stand-in targets, without a network in between.
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
import { membersPrefix, openEntrySession, type EntrySession } from "../entry-session.js";
import { OwnershipManager } from "../ownership-manager.js";
import { decodeOwnerRecord, ownerPrefix } from "../owner-record.js";
import type { PoolOwner } from "../pool-owner.js";

/** The pool of every test. */
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
  /** Stops without telling anyone. */
  crash(): void;
}

/** What a test works with. */
export interface OwnerFixture {
  /** The targets of `pool`. */
  readonly fleet: JobFleet;
  /** The targets of all pools. */
  readonly fleets: ReadonlyMap<string, JobFleet>;
  readonly engine: StoreEngine;
  /** Starts an entry, whose store a test may adapt, for `pool` or for others. */
  startEntry(
    entryId: string,
    adapt?: (store: TransactionalStore) => TransactionalStore,
    pools?: readonly string[],
  ): TestEntry;
  /** Waits until an entry holds `pool`, or another one. */
  owner(entry: TestEntry, name?: string): Promise<PoolOwner>;
  close(): void;
}

/** Settings of a fixture. */
export interface OwnerFixtureOptions extends Omit<JobFleetOptions, "pool"> {
  /** Pools beside `pool`, each with a fleet like its. */
  readonly otherPools?: readonly string[];
  readonly workspaces?: () => WorkspaceTable | undefined;
}

const leaseMilliseconds = 1_000;
const followMilliseconds = 20;

/**
 * Starts the store and the fleet.
 * @param options - the fleet
 * @returns the fixture
 */
export function startOwnerFixture(options: OwnerFixtureOptions): OwnerFixture {
  const engine = createStoreEngine();
  const { otherPools = [], workspaces, ...size } = options;
  const fleet = startJobFleet({ pool, ...size });
  const others = otherPools.map((other) => [other, startJobFleet({ pool: other, ...size })] as const);
  const fleets = new Map([[pool, fleet] as const, ...others]);
  const entries: TestEntry[] = [];
  return {
    engine,
    fleet,
    fleets,
    startEntry: (entryId, adapt = (store) => store, pools = [pool]) => {
      const entry = startEntry({ entryId, engine, fleets, adapt, pools, workspaces });
      entries.push(entry);
      return entry;
    },
    owner: async ({ ownershipManager }, name = pool) => waitFor(() => ownershipManager.owner(name)),
    close: () => {
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
  readonly adapt: (store: TransactionalStore) => TransactionalStore;
  readonly pools: readonly string[];
  readonly workspaces: OwnerFixtureOptions["workspaces"];
}

function failWithoutFleet(): never {
  throw new Error("there is no fleet");
}

/** Gives each order to the fleet of its target. */
function joinOrders(fleets: ReadonlyMap<string, JobFleet>): TargetOrders {
  const find = ({ target }: OrderHeader): TargetOrders => {
    const fleet = [...fleets.values()].find(({ targets }) => targets.has(target.targetId));
    // A target that has been taken away answers through any fleet that it is not there.
    return (fleet ?? [...fleets.values()][0])?.orders ?? failWithoutFleet();
  };
  return {
    start: async (order) => find(order).start(order),
    stop: async (order) => find(order).stop(order),
    pace: async (order) => find(order).pace(order),
    renew: async (order) => find(order).renew(order),
  };
}

function startEntry({ entryId, engine, fleets, adapt, pools, workspaces }: EntryParts): TestEntry {
  const faults = createStoreFaults();
  const store = adapt(new MemoryStoreClient(engine, faults));
  const lines: string[] = [];
  const log = createLog("info", (line) => lines.push(line));
  const metrics = createMetrics();
  const self = { entryId, incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" };
  const session = openEntrySession({ store, self, log, leaseMilliseconds });
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
      const targets = [...(fleets.get(name)?.targets ?? [])];
      return new Map(targets.map(([targetId, target]) => [targetId, target.describe()] as const));
    },
    orders: joinOrders(fleets),
    advice: undefined,
    log,
    metrics,
    runLeaseMilliseconds: 1_500,
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
  return { ownershipManager, session, faults, lines, metrics, crash };
}

/**
 * Waits until something is found.
 * @param find - looks for it
 * @returns what was found
 */
export async function waitFor<Found>(find: () => Found | undefined | false): Promise<Found> {
  for (let attempt = 0; attempt < 2_000; attempt += 1) {
    const found = find();
    if (found !== undefined && found !== false) return found;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  throw new Error("what was waited for did not come");
}

/** The terms of every test's queue. */
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
 * @param changes - what differs from two short tasks of one core
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
 * @returns the submission
 */
export function submission(
  jobId: string,
  ...steps: StepDefinition[]
): { jobId: string; terms: QueueTerms; definition: JobDefinition; deadlineMilliseconds: number } {
  return { jobId, terms, definition: { spec: "", steps }, deadlineMilliseconds: 3_000 };
}
