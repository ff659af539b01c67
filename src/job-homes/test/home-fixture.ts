/**
 * Entries with homes over one store and one fleet of stand-in targets, without a network in between.
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
import { createLog, createMetrics } from "../../telemetry/index.js";
import { membersPrefix, openEntrySession, type EntrySession } from "../entry-session.js";
import { HomeKeeper } from "../home-keeper.js";
import { decodeHomeRecord, homePrefix } from "../home-record.js";
import type { JobHome } from "../job-home.js";

/** The pool of every test. */
export const pool = "presses";

/** A running entry. */
export interface TestEntry {
  readonly keeper: HomeKeeper;
  readonly session: EntrySession;
  /** Faults of this entry's path to the store. */
  readonly faults: StoreFaults;
  /** Log lines so far. */
  readonly lines: string[];
  /** Stops without telling anyone. */
  crash(): void;
}

/** What a test works with. */
export interface HomeFixture {
  readonly fleet: JobFleet;
  readonly engine: StoreEngine;
  /** Starts an entry, whose store a test may adapt. */
  startEntry(entryId: string, adapt?: (store: TransactionalStore) => TransactionalStore): TestEntry;
  /** Waits until an entry holds the pool. */
  home(entry: TestEntry): Promise<JobHome>;
  close(): void;
}

const leaseMilliseconds = 1_000;
const followMilliseconds = 20;

/**
 * Starts the store and the fleet.
 * @param options - the fleet
 * @returns the fixture
 */
export function startHomeFixture(options: Omit<JobFleetOptions, "pool">): HomeFixture {
  const engine = createStoreEngine();
  const fleet = startJobFleet({ pool, ...options });
  const entries: TestEntry[] = [];
  return {
    engine,
    fleet,
    startEntry: (entryId, adapt = (store) => store) => {
      const entry = startEntry(entryId, engine, fleet, adapt);
      entries.push(entry);
      return entry;
    },
    home: async ({ keeper }) => waitFor(() => keeper.home(pool)),
    close: () => {
      for (const entry of entries) entry.crash();
      fleet.close();
      engine.close();
    },
  };
}

function startEntry(
  entryId: string,
  engine: StoreEngine,
  fleet: JobFleet,
  adapt: (store: TransactionalStore) => TransactionalStore,
): TestEntry {
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
      keeper.hurry();
    },
  });
  const homes = (): Map<string, NonNullable<ReturnType<typeof decodeHomeRecord>> & { revision: number }> => {
    const found = [...members.records().values()].flatMap(({ key, value, revision }) => {
      const record = key.startsWith(homePrefix) ? decodeHomeRecord(value) : undefined;
      return record === undefined ? [] : [[key.slice(homePrefix.length), { ...record, revision }] as const];
    });
    return new Map(found);
  };
  const keeper = new HomeKeeper({
    entryId,
    store,
    session,
    directory: {
      entries: () => new Map([[entryId, 1]]),
      homes,
      ageMilliseconds: () => members.ageMilliseconds(),
    },
    pools: () => [pool],
    listedTargets: () =>
      new Map([...fleet.targets].map(([targetId, target]) => [targetId, target.describe()] as const)),
    orders: fleet.orders,
    advice: undefined,
    log,
    metrics,
    runLeaseMilliseconds: 1_500,
    retentionMilliseconds: 60_000,
    settleMilliseconds: 0,
  });
  void keeper.run();
  const follow = setInterval(() => {
    keeper.followTargets();
  }, followMilliseconds);
  const crash = (): void => {
    clearInterval(follow);
    faults.mode = "down";
    members.close();
    void keeper.close();
    void session.close();
  };
  return { keeper, session, faults, lines, crash };
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
