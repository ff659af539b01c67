/**
 * A home that this entry holds: the parts that it is made of, from its start to its end.
 * @packageDocumentation
 */
import type { TransactionalStore } from "../store/index.js";
import type { RegisteredTarget, TargetOrders } from "../task-runs/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { AdviceService } from "./advice-book.js";
import type { EntrySession } from "./entry-session.js";
import { StoredHomeJournal } from "./home-journal.js";
import { homePrefix } from "./home-record.js";
import { createHomeState, loadJobs, type HomeState } from "./home-state.js";
import { HomeTargets } from "./home-targets.js";
import { inheritedLeaseMilliseconds, type StoredJobs, type TakenPool } from "./home-takeover.js";
import type { WorkspacesOfHomes } from "./home-workspaces.js";
import { JobHome } from "./job-home.js";
import { readRecentLoad } from "./pool-report.js";

/** What the homes of an entry work with. */
export interface HeldHomeOptions {
  readonly store: TransactionalStore;
  readonly session: EntrySession;
  /** Targets of a pool as the registry lists them; undefined while the registry was not read. */
  readonly listedTargets: (pool: string) => ReadonlyMap<string, RegisteredTarget> | undefined;
  readonly orders: TargetOrders;
  readonly advice: AdviceService | undefined;
  readonly log: Log;
  readonly metrics: Metrics;
  /** How long a lease on runs lasts. */
  readonly runLeaseMilliseconds: number;
  readonly retentionMilliseconds: number;
}

/** A home that this entry holds. */
export interface HeldHome {
  readonly home: JobHome;
  readonly state: HomeState;
  readonly targets: HomeTargets;
  readonly leaseId: string;
  close(): void;
}

/** Run numbers that each home of a pool has for itself. */
const runsPerHome = 64;

/**
 * Starts the home of a pool that was taken.
 * @param options - what it works with
 * @param forHomes - what the homes of this entry know of workspaces
 * @param pool - the pool
 * @param taken - the pool's record and what an earlier home left
 * @param jobs - what the store holds of its jobs
 * @param onSuperseded - called once when another home has taken over
 * @returns the running home
 */
export function startHome(
  options: HeldHomeOptions,
  forHomes: WorkspacesOfHomes,
  pool: string,
  { record, revision, leaseId, inheritance }: TakenPool,
  jobs: StoredJobs,
  onSuperseded: (reason: string) => void,
): HeldHome {
  const { store, session, orders, log, metrics, runLeaseMilliseconds } = options;
  const homeKey = `${homePrefix}${pool}`;
  let isClosed = false;
  const supersede = (reason: string): void => {
    if (!isClosed) onSuperseded(reason);
  };
  const journal = new StoredHomeJournal({
    store,
    homeKey,
    record,
    revision,
    leaseId,
    log,
    metrics,
    onSuperseded: supersede,
  });
  const isActive = (): boolean => !isClosed && session.leaseId() === leaseId;
  const wake = (): void => {
    state.wake();
  };
  const cores = (): number => readRecentLoad(state).cores;
  const workspaces = forHomes.create({ pool, journal, isActive, wake, cores });
  const state = createHomeState({
    pool,
    fencingToken: revision,
    firstRun: (inheritance.homes - 1) * runsPerHome + 1,
    orders,
    journal,
    log,
    metrics,
    isActive,
    supersede,
    workspaces,
  });
  loadJobs(state, jobs.records, jobs.progress);
  const targets = new HomeTargets(state, {
    leaseMilliseconds: runLeaseMilliseconds,
    homes: inheritance.homes,
  });
  const leaseUntil = performance.now() + inheritedLeaseMilliseconds(runLeaseMilliseconds);
  targets.inherit(inheritance, leaseUntil);
  const home = new JobHome({
    state,
    store,
    advice: options.advice,
    retentionMilliseconds: options.retentionMilliseconds,
  });
  const listed = options.listedTargets(pool);
  if (listed !== undefined) targets.follow(listed);
  home.start();
  const close = (): void => {
    isClosed = true;
    home.close();
    workspaces?.quotas.close();
    targets.close();
    journal.close();
  };
  return { home, state, targets, leaseId, close };
}
