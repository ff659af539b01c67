/**
 * A leader role that one entry at a time has, held under the entry's lease.
 * @packageDocumentation
 */
import { parseWith, rendezvousOrder } from "../shared/index.js";
import * as z from "zod";
import type { ExpectedRevision, StoreRecord, TransactionalStore } from "../store/index.js";
import type { Log } from "../telemetry/index.js";
import { membersPrefix, type EntrySession } from "./entry-session.js";

/** Prefix of the records that say which entry holds a leader role. */
export const leaderRolePrefix = `${membersPrefix}duties/`;

/** Settings of a leader role. */
export interface SessionLeaderRoleOptions {
  readonly name: string;
  readonly entryId: string;
  readonly store: TransactionalStore;
  readonly session: EntrySession;
  /** Entries that may hold the leader role. */
  readonly entries: () => readonly string[];
  /** Who holds the leader role by the store, as last received. */
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

/** Entries behind the first in the order wait so much longer each. */
const positionDelayMilliseconds = 300;

/** A leader role that this entry competes for. */
export class SessionLeaderRole {
  readonly #options: SessionLeaderRoleOptions;
  #holding: Holding | undefined;
  #vacantSince: number | undefined;
  #isHeldElsewhere = false;

  /**
   * Creates a leader role that is not held yet.
   * @param options - the leader role and the entry's lease
   */
  constructor(options: SessionLeaderRoleOptions) {
    this.#options = options;
  }

  /** Whether this entry holds the leader role, by its own clock. */
  isHeld(): boolean {
    return this.#holding !== undefined && this.#holding.leaseId === this.#options.session.leaseId();
  }

  /** Whether another entry holds the leader role by the store, so that this one has nothing to do before that changes. */
  isHeldElsewhere(): boolean {
    return this.#isHeldElsewhere;
  }

  /** Rises with each holder. */
  fencingToken(): number {
    return this.#holding?.revision ?? 0;
  }

  /** How long this entry has held the leader role. */
  heldForMilliseconds(): number {
    return this.#holding === undefined ? 0 : performance.now() - this.#holding.heldSince;
  }

  /** The condition under which a holder writes. */
  expectHeld(): ExpectedRevision {
    return { key: this.#key(), revision: this.fencingToken() };
  }

  /** Takes the leader role if nobody holds it and it is this entry's turn. */
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

  /** Nobody else can take the leader role while a record of this entry stands. */
  async #settleOwnRecord({ value, revision }: StoreRecord, leaseId: string): Promise<void> {
    const { entryId, store } = this.#options;
    const found = parseWith(leaderRoleRecordSchema, value).toMaybe().extract();
    this.#isHeldElsewhere = found !== undefined && found.entryId !== entryId;
    if (found?.entryId !== entryId) return;
    if (found.leaseId === leaseId) {
      // The answer to the write that took the leader role was lost.
      this.#hold(leaseId, revision);
      return;
    }
    // An earlier process of this entry held the leader role, or this one under a lease that it has lost.
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
