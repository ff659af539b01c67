/**
 * A leader role that at most one entry holds at a time, bound to the entry's lease.
 * @packageDocumentation
 */
import { parseWith, rendezvousOrder } from "../shared/index.js";
import * as z from "zod";
import type { ExpectedRevision, StoreRecord, TransactionalStore } from "../store/index.js";
import type { Log } from "../telemetry/index.js";
import type { EntrySession } from "./entry-session.js";
import { membersPrefix } from "./member-registration.js";

/** Prefix of the records that name the entry which holds a leader role. */
export const leaderRolePrefix = `${membersPrefix}duties/`;

/** Settings of a leader role. */
export interface SessionLeaderRoleOptions {
  readonly name: string;
  readonly entryId: string;
  readonly store: TransactionalStore;
  readonly session: EntrySession;
  /** Entries that may hold the leader role. */
  readonly entries: () => readonly string[];
  /** The stored record of the leader role's holder, as last received; undefined when nobody holds it. */
  readonly holder: () => StoreRecord | undefined;
  readonly log: Log;
}

const leaderRoleRecordSchema = z.object({ entryId: z.string(), leaseId: z.string() });

interface Holding {
  readonly leaseId: string;
  readonly revision: number;
  /** By the monotonic clock. */
  readonly heldSince: number;
}

/** Each entry waits this much longer than the one before it in the queue, so that the first one gets the leader role. */
const positionDelayMilliseconds = 300;

/** A leader role that this entry competes for. */
export class SessionLeaderRole {
  readonly #options: SessionLeaderRoleOptions;
  #holding: Holding | undefined;
  #vacantSince: number | undefined;
  #isHeldElsewhere = false;

  /**
   * Creates a leader role that this entry does not hold yet.
   * @param options - the leader role and the entry's session
   */
  constructor(options: SessionLeaderRoleOptions) {
    this.#options = options;
  }

  /** Whether this entry holds the leader role; false as soon as its lease has expired by its own clock. */
  isHeld(): boolean {
    return this.#holding !== undefined && this.#holding.leaseId === this.#options.session.leaseId();
  }

  /** Whether the store names another entry as the holder, so that this one has nothing to do until that changes. */
  isHeldElsewhere(): boolean {
    return this.#isHeldElsewhere;
  }

  /** Increases with each holder; 0 if this entry has not taken the leader role. */
  fencingToken(): number {
    return this.#holding?.revision ?? 0;
  }

  /** How long this entry has held the leader role; 0 if it has not taken it. */
  heldForMilliseconds(): number {
    return this.#holding === undefined ? 0 : performance.now() - this.#holding.heldSince;
  }

  /** The precondition for transactions of the holder: it makes them fail once another entry holds the leader role. */
  expectHeld(): ExpectedRevision {
    return { key: this.#key(), revision: this.fencingToken() };
  }

  /** Takes the leader role if nobody holds it and this entry's delay in the queue has passed. */
  async compete(): Promise<void> {
    this.#isHeldElsewhere = false;
    if (this.isHeld()) return;
    this.#holding = undefined;
    const { session, holder, store, entryId } = this.#options;
    const leaseId = session.leaseId();
    const record = holder();
    if (leaseId === undefined || record !== undefined) {
      this.#vacantSince = undefined;
      if (leaseId !== undefined && record !== undefined) await this.#settleOwnRecord(record, leaseId);
      return;
    }
    if (!this.#hasPositionDelayPassed()) return;
    const value = { entryId, leaseId };
    const expected = [{ key: this.#key(), revision: 0 }];
    const result = await store.transact({ expected, writes: [{ key: this.#key(), value, leaseId }] });
    if (result.kind === "done") this.#hold(leaseId, result.revision);
  }

  /**
   * Handles a stored record that names this entry: takes the role back or deletes the record. No other entry can take the
   * leader role while the record exists.
   */
  async #settleOwnRecord({ value, revision }: StoreRecord, leaseId: string): Promise<void> {
    const { entryId, store } = this.#options;
    const found = parseWith(leaderRoleRecordSchema, value).toMaybe().extract();
    this.#isHeldElsewhere = found !== undefined && found.entryId !== entryId;
    if (found?.entryId !== entryId) return;
    if (found.leaseId === leaseId) {
      // The write that took the leader role succeeded, but its answer was lost.
      this.#hold(leaseId, revision);
      return;
    }
    // The record belongs to an earlier process of this entry, or to a lease that this process has lost.
    const key = this.#key();
    await store.transact({ expected: [{ key, revision }], writes: [{ key, value: undefined }] });
  }

  #hold(leaseId: string, revision: number): void {
    const { log, name } = this.#options;
    this.#holding = { leaseId, revision, heldSince: performance.now() };
    log.write("info", "duty-acquired", { duty: name, fencingToken: revision });
  }

  #key(): string {
    return `${leaderRolePrefix}${this.#options.name}`;
  }

  #hasPositionDelayPassed(): boolean {
    const { entries, entryId, name } = this.#options;
    const now = performance.now();
    this.#vacantSince ??= now;
    const position = rendezvousOrder(name, entries()).indexOf(entryId);
    return position >= 0 && now - this.#vacantSince >= position * positionDelayMilliseconds;
  }
}
