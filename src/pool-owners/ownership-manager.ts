/**
 * Competes for the ownership of pools and runs the owners of the pools that this entry holds.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import type { MemberRecord } from "../membership/index.js";
import { Pause } from "../shared/index.js";
import { areHeldElsewhere, isCurrent, type OwnerDirectory } from "./owner-directory.js";
import { orderForOwnership } from "./owner-placement.js";
import { ownerPrefix } from "./owner-record.js";
import { loadPoolJobs, takePool } from "./owner-takeover.js";
import { WorkspacesOfOwners, type WorkspacesOptions } from "./owner-workspaces.js";
import { startOwner, type HeldPool, type HeldPoolOptions } from "./held-pool.js";
import type { PoolOwner } from "./pool-owner.js";
import { JoinWait } from "./join-wait.js";

/** Dependencies and settings of an ownership manager. */
export interface OwnershipManagerOptions extends HeldPoolOptions, Pick<WorkspacesOptions, "workspaces"> {
  readonly entryId: string;
  /** The member record of this entry. */
  readonly self: MemberRecord;
  readonly directory: OwnerDirectory;
  /** Pools that need an owner. */
  readonly pools: () => readonly string[];
  /** Called when this entry has taken a pool. */
  readonly onTaken?: () => void;
  /** The longest time that an entry which has just joined waits for other entries before it competes for pools. */
  readonly settleMilliseconds: number;
}

/** Interval of the checks for pools without an owner. */
const competePollMilliseconds = 100;
/** Interval of the checks while, as far as this entry knows, every pool has an owner. */
const settledPollMilliseconds = 1_000;
/** Each entry waits this much longer than the one before it in the pool's queue, so that the first one gets the pool. */
const positionDelayMilliseconds = 250;
/** An entry that could not read a pool's jobs leaves the pool to other entries for this long. */
const yieldMilliseconds = 3_000;

/** Competes for the ownership of pools and runs the owners of the pools that this entry holds. */
export class OwnershipManager {
  readonly #options: OwnershipManagerOptions;
  readonly #pause = new Pause();
  readonly #stop = new AbortController();
  readonly #held = new Map<string, HeldPool>();
  readonly #vacantSince = new Map<string, number>();
  readonly #taking = new Set<string>();
  /** By pool: the time until which this entry leaves the pool to others, by the monotonic clock. */
  readonly #yieldsUntil = new Map<string, number>();
  /** Pools for which the write of this entry's owner record is in progress. */
  readonly #claimed = new Set<string>();
  readonly #joinWait: JoinWait;
  readonly #workspaces: WorkspacesOfOwners;

  /**
   * Creates a manager that does not compete before `run` is called.
   * @param options - also the dependencies of the owners that the manager starts
   */
  constructor(options: OwnershipManagerOptions) {
    this.#options = options;
    this.#joinWait = new JoinWait(options.settleMilliseconds);
    this.#workspaces = new WorkspacesOfOwners(options);
    options.session.events.on("lost", ({ leaseId, reason }) => {
      this.#joinWait.restart(options.directory.entries().keys());
      this.#vacantSince.clear();
      for (const [pool, held] of this.#held) if (held.leaseId === leaseId) this.#drop(pool, reason);
      this.hurry();
    });
  }

  /** The running owner of a pool; undefined if this entry does not hold the pool. */
  owner(pool: string): PoolOwner | undefined {
    const held = this.#held.get(pool);
    // The lease may have expired while the process was paused, before the session reports the loss.
    return held?.state.isActive() === true ? held.owner : undefined;
  }

  /** The running owners of this entry. */
  owners(): PoolOwner[] {
    return [...this.#held.values()].map(({ owner }) => owner);
  }

  /** Passes the targets that the registry lists at present to the running owners. */
  followTargets(): void {
    for (const [pool, { targets }] of this.#held) {
      const listed = this.#options.listedTargets(pool);
      if (listed !== undefined) targets.follow(listed);
    }
  }

  /** Checks at once which pools have no owner; for callers that know of a change of entries, owners or pools. */
  hurry(): void {
    this.#pause.end();
  }

  /** Competes until the manager is closed. */
  async run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      this.#compete();
      await this.#pause.wait(this.#isSettled() ? settledPollMilliseconds : competePollMilliseconds);
    }
  }

  /** Waits for the owners' pending writes and closes the owners. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#pause.end();
    const held = [...this.#held.values()];
    await Promise.all(held.map(async ({ state }) => state.journal.flush()));
    for (const owner of held) owner.close();
    this.#held.clear();
  }

  #drop(pool: string, reason: string): void {
    const owner = this.#held.get(pool);
    if (!this.#held.delete(pool)) return;
    owner?.close();
    this.hurry();
    this.#options.log.write("warn", "home-lost", { pool, reason });
  }

  #compete(): void {
    const { session, directory, pools } = this.#options;
    if (session.leaseId() === undefined || !isCurrent(directory)) return;
    const mayTakeNew = this.#joinWait.isOver(directory.entries());
    for (const pool of pools()) {
      if (this.#held.has(pool) || this.#taking.has(pool)) continue;
      if (!mayTakeNew && directory.owners().get(pool)?.entryId !== this.#options.entryId) continue;
      this.#taking.add(pool);
      void this.#takeIfFree(pool).finally(() => this.#taking.delete(pool));
    }
  }

  /** Whether every pool has an owner, so that this entry has nothing to do until it receives a change. */
  #isSettled(): boolean {
    const { session, directory, pools, entryId } = this.#options;
    const others = pools().filter((pool) => !this.#held.has(pool));
    return session.leaseId() !== undefined && areHeldElsewhere(directory, others, entryId);
  }

  async #takeIfFree(pool: string): Promise<void> {
    const record = this.#options.directory.owners().get(pool);
    if (record === undefined) {
      if (!this.#hasPositionDelayPassed(pool)) return;
      this.#claimed.add(pool);
      await this.#take(pool).finally(() => this.#claimed.delete(pool));
      return;
    }
    this.#vacantSince.delete(pool);
    if (record.entryId === this.#options.entryId) await this.#settleOwnRecord(pool, record.revision);
  }

  /**
   * Handles an owner record of this entry for which no owner is running: the process that wrote it has ended, the answer
   * to the write was lost, or the pool's jobs could not be read. No other entry can take the pool before the record's
   * lease ends.
   */
  async #settleOwnRecord(pool: string, revision: number): Promise<void> {
    if (performance.now() < (this.#yieldsUntil.get(pool) ?? 0))
      await this.#clearAbandonedRecord(pool, revision);
    else await this.#take(pool, revision);
  }

  #hasPositionDelayPassed(pool: string): boolean {
    const now = performance.now();
    if (now < (this.#yieldsUntil.get(pool) ?? 0)) return false;
    const since = this.#vacantSince.get(pool) ?? now;
    this.#vacantSince.set(pool, since);
    const position = this.#queuePosition(pool);
    return position >= 0 && now - since >= position * positionDelayMilliseconds;
  }

  /** This entry's position among those that could take a pool: 0 for the first, -1 if it is not a member. */
  #queuePosition(pool: string): number {
    const { directory, entryId } = this.#options;
    const counts = new Map<string, number>();
    for (const { entryId: holder } of directory.owners().values())
      counts.set(holder, (counts.get(holder) ?? 0) + 1);
    counts.set(entryId, Math.max(counts.get(entryId) ?? 0, this.#held.size + this.#claimed.size));
    const candidates = [...directory.entries()].map(([candidate, capacityCores]) => ({
      entryId: candidate,
      capacityCores,
      ownedPools: counts.get(candidate) ?? 0,
    }));
    return orderForOwnership(pool, candidates).indexOf(entryId);
  }

  async #take(pool: string, heldRevision = 0): Promise<void> {
    const { session, store, self, log } = this.#options;
    const leaseId = session.leaseId();
    if (leaseId === undefined) return;
    const startedAt = performance.now();
    const take = { pool, member: self, leaseId, term: randomUUID(), heldRevision };
    const taken = await takePool(store, take);
    if (taken.isLeft()) {
      log.write("info", "home-not-taken", { pool, reason: taken.swap().unsafeCoerce() });
      return;
    }
    const found = taken.unsafeCoerce();
    const isStillHeld = (): boolean => session.leaseId() === leaseId && !this.#stop.signal.aborted;
    const jobs = await loadPoolJobs(store, pool, log, isStillHeld);
    if (jobs === undefined) this.#yieldsUntil.set(pool, performance.now() + yieldMilliseconds);
    // The lease may have ended, or the manager may have been closed, while the jobs were read.
    if (jobs === undefined || !isStillHeld()) return;
    const onSuperseded = (reason: string): void => {
      this.#drop(pool, reason);
    };
    this.#held.set(pool, startOwner(this.#options, this.#workspaces, pool, found, jobs, onSuperseded));
    this.#options.onTaken?.();
    log.write("info", "home-taken", {
      pool,
      fencingToken: found.revision,
      homes: found.takeoverState.homes,
      jobs: jobs.records.length,
      inheritedTargets: Object.keys(found.takeoverState.targets).length,
      stateRevision: found.stateRevision,
      milliseconds: Math.round(performance.now() - startedAt),
    });
  }

  /** Deletes this entry's owner record of a pool, so that another entry can take the pool. */
  async #clearAbandonedRecord(pool: string, revision: number): Promise<void> {
    const key = `${ownerPrefix}${pool}`;
    const transaction = { expected: [{ key, revision }], writes: [{ key, value: undefined }] };
    const result = await this.#options.store.transact(transaction);
    this.#options.log.write("info", "home-orphan-cleared", { pool, revision, result: result.kind });
  }
}
