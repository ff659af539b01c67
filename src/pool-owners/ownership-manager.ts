/**
 * Competes for the owners of pools and runs those that this entry holds.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { Pause } from "../shared/index.js";
import { areHeldElsewhere, isCurrent, type OwnerDirectory } from "./owner-directory.js";
import { orderForOwnership } from "./owner-placement.js";
import { ownerPrefix } from "./owner-record.js";
import { loadPoolJobs, takePool } from "./owner-takeover.js";
import { WorkspacesOfOwners, type WorkspacesOptions } from "./owner-workspaces.js";
import { startOwner, type HeldPool, type HeldPoolOptions } from "./held-pool.js";
import type { PoolOwner } from "./pool-owner.js";
import { JoinWait } from "./join-wait.js";

/** Settings of a keeper. */
export interface OwnershipManagerOptions extends HeldPoolOptions, Pick<WorkspacesOptions, "workspaces"> {
  readonly entryId: string;
  readonly directory: OwnerDirectory;
  /** Pools that need an owner. */
  readonly pools: () => readonly string[];
  /** Called when this entry has taken a pool. */
  readonly onTaken?: () => void;
  /** An entry that has just joined waits so long, until others that start with it have joined. */
  readonly settleMilliseconds: number;
}

const competePollMilliseconds = 100;
/** Time between two looks while every pool has an owner, as far as this entry knows. */
const settledPollMilliseconds = 1_000;
/** Entries behind the first in a pool's order wait so much longer each, so that the first gets it. */
const positionDelayMilliseconds = 250;
/** For so long an entry leaves a pool to others whose jobs it could not read. */
const yieldMilliseconds = 3_000;

/** Competes for the owners of pools and runs those that this entry holds. */
export class OwnershipManager {
  readonly #options: OwnershipManagerOptions;
  readonly #pause = new Pause();
  readonly #stop = new AbortController();
  readonly #held = new Map<string, HeldPool>();
  readonly #vacantSince = new Map<string, number>();
  readonly #taking = new Set<string>();
  /** Until when others may take a pool first, by pool and the monotonic clock. */
  readonly #yieldsUntil = new Map<string, number>();
  /** Pools for which this entry has begun to write that it is their owner. */
  readonly #claimed = new Set<string>();
  readonly #joinWait: JoinWait;
  readonly #workspaces: WorkspacesOfOwners;

  /**
   * Creates a keeper; `run` begins to compete.
   * @param options - what the owners work with
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

  /** The running owner of a pool, if this entry holds it. */
  owner(pool: string): PoolOwner | undefined {
    const held = this.#held.get(pool);
    // A process that was paused finds out here that its lease has ended meanwhile.
    return held?.state.isActive() === true ? held.owner : undefined;
  }

  /** The running owners of this entry. */
  owners(): PoolOwner[] {
    return [...this.#held.values()].map(({ owner }) => owner);
  }

  /** Takes over news of the registry. */
  followTargets(): void {
    for (const [pool, { targets }] of this.#held) {
      const listed = this.#options.listedTargets(pool);
      if (listed !== undefined) targets.follow(listed);
    }
  }

  /** Looks at once at which pools have no owner, since entries, owners or pools have changed. */
  hurry(): void {
    this.#pause.end();
  }

  /** Competes until the keeper is closed. */
  async run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      this.#compete();
      await this.#pause.wait(this.#isSettled() ? settledPollMilliseconds : competePollMilliseconds);
    }
  }

  /** Writes what is open and gives the owners up. */
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

  /** Whether every pool has an owner, so that only what is received gives this entry something to do. */
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
   * Settles a record of this entry that no running owner stands for: the process that wrote it has ended, its answer was
   * lost, or the pool's jobs were not read. Nobody else can take the pool before the record's lease ends.
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

  /** This entry's place among those that could take a pool, 0 for the first. */
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
    const { session, store, entryId, log } = this.#options;
    const leaseId = session.leaseId();
    if (leaseId === undefined) return;
    const startedAt = performance.now();
    const taken = await takePool(store, pool, entryId, leaseId, randomUUID(), heldRevision);
    if (taken.isLeft()) {
      log.write("info", "home-not-taken", { pool, reason: taken.swap().unsafeCoerce() });
      return;
    }
    const found = taken.unsafeCoerce();
    const isStillHeld = (): boolean => session.leaseId() === leaseId && !this.#stop.signal.aborted;
    const jobs = await loadPoolJobs(store, pool, log, isStillHeld);
    if (jobs === undefined) this.#yieldsUntil.set(pool, performance.now() + yieldMilliseconds);
    // The lease may have ended while the jobs were read.
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
      milliseconds: Math.round(performance.now() - startedAt),
    });
  }

  /** Leaves a pool to others. */
  async #clearAbandonedRecord(pool: string, revision: number): Promise<void> {
    const key = `${ownerPrefix}${pool}`;
    const transaction = { expected: [{ key, revision }], writes: [{ key, value: undefined }] };
    const result = await this.#options.store.transact(transaction);
    this.#options.log.write("info", "home-orphan-cleared", { pool, revision, result: result.kind });
  }
}
