/**
 * A pool that this entry owns: creates and closes the parts of its owner.
 * @packageDocumentation
 */
import type { TransactionalStore } from "../store/index.js";
import type { RegisteredTarget, TargetOrders } from "../task-runs/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { AdviceRequests } from "./advice-requests.js";
import type { EntrySession } from "./entry-session.js";
import { StoredOwnerJournal } from "./owner-journal.js";
import { ownerPrefix } from "./owner-record.js";
import { createOwnerState, loadJobs, type OwnerState } from "./owner-state.js";
import { OwnerTargets } from "./owner-targets.js";
import type { TakenPool } from "./owner-takeover.js";
import type { WorkspacesOfOwners } from "./owner-workspaces.js";
import { PoolOwner } from "./pool-owner.js";
import { readRecentLoad } from "./pool-report.js";
import type { StoredJobs } from "./stored-jobs.js";

/** Dependencies and settings of the owners of an entry. */
export interface HeldPoolOptions {
  readonly store: TransactionalStore;
  readonly session: EntrySession;
  /** Targets of a pool as the registry lists them; undefined until the registry has been read. */
  readonly listedTargets: (pool: string) => ReadonlyMap<string, RegisteredTarget> | undefined;
  readonly orders: TargetOrders;
  /** Requests to the advice service, shared by the owners of this entry; undefined when the settings name none. */
  readonly advice: AdviceRequests | undefined;
  readonly log: Log;
  readonly metrics: Metrics;
  /** The lease that a target gets for its runs with each renewal. */
  readonly runLeaseMilliseconds: number;
  /** The longest lease that a target grants, whatever is requested. */
  readonly longestRunLeaseMilliseconds: number;
  /** How long ended jobs stay readable. */
  readonly retentionMilliseconds: number;
}

/** A pool that this entry owns. */
export interface HeldPool {
  readonly owner: PoolOwner;
  readonly state: OwnerState;
  readonly targets: OwnerTargets;
  readonly leaseId: string;
  close(): void;
}

/** Size of the range of run numbers in which each owner of a pool starts, so that they exceed those of its predecessor. */
const runsPerOwner = 64;

/**
 * Starts the owner of a pool that this entry has taken.
 * @param options - dependencies of the owner
 * @param workspacesOfOwners - workspace limits shared by the owners of this entry
 * @param pool - the pool
 * @param taken - the owner record and the state that the earlier owner left
 * @param jobs - the pool's stored jobs
 * @param onSuperseded - called when another owner has taken the pool over, but not after `close`
 * @returns the running owner
 */
export function startOwner(
  options: HeldPoolOptions,
  workspacesOfOwners: WorkspacesOfOwners,
  pool: string,
  { record, revision, leaseId, takeoverState }: TakenPool,
  jobs: StoredJobs,
  onSuperseded: (reason: string) => void,
): HeldPool {
  const { store, session, orders, log, metrics, runLeaseMilliseconds, longestRunLeaseMilliseconds } = options;
  const ownerKey = `${ownerPrefix}${pool}`;
  let isClosed = false;
  const supersede = (reason: string): void => {
    if (!isClosed) onSuperseded(reason);
  };
  const journal = new StoredOwnerJournal({
    store,
    ownerKey,
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
  const workspaces = workspacesOfOwners.create({ pool, journal, isActive, wake, cores });
  const state = createOwnerState({
    pool,
    takenRevision: revision,
    firstRun: (takeoverState.homes - 1) * runsPerOwner + 1,
    orders,
    journal,
    log,
    metrics,
    isActive,
    supersede,
    workspaces,
    adviceRequests: options.advice,
  });
  loadJobs(state, jobs);
  const targets = new OwnerTargets(state, {
    leaseMilliseconds: runLeaseMilliseconds,
    longestLeaseMilliseconds: longestRunLeaseMilliseconds,
    ownerCount: takeoverState.homes,
  });
  targets.restoreTargets(takeoverState);
  const owner = new PoolOwner({
    state,
    store,
    cancellations: jobs.cancellations,
    unreadable: jobs.unreadable,
    retentionMilliseconds: options.retentionMilliseconds,
    onTick: () => {
      targets.reviewUse();
    },
  });
  const listed = options.listedTargets(pool);
  if (listed !== undefined) targets.follow(listed);
  owner.start();
  const close = (): void => {
    isClosed = true;
    owner.close();
    workspaces?.quotas.close();
    targets.close();
    journal.close();
  };
  return { owner, state, targets, leaseId, close };
}
