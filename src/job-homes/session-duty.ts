/**
 * A duty that one entry at a time does, held under the entry's lease.
 * @packageDocumentation
 */
import { rendezvousOrder } from "../shared/index.js";
import type { ExpectedRevision, TransactionalStore } from "../store/index.js";
import type { Log } from "../telemetry/index.js";
import { membersPrefix, type EntrySession } from "./entry-session.js";

/** Prefix of the records that say which entry does a duty. */
export const dutyPrefix = `${membersPrefix}duties/`;

/** Settings of a duty. */
export interface SessionDutyOptions {
  readonly name: string;
  readonly entryId: string;
  readonly store: TransactionalStore;
  readonly session: EntrySession;
  /** Entries that may do the duty. */
  readonly entries: () => readonly string[];
  /** Whether the store shows a holder, as last heard. */
  readonly hasHolder: () => boolean;
  readonly log: Log;
}

interface Holding {
  readonly leaseId: string;
  readonly revision: number;
  /** By the monotonic clock. */
  readonly heldSince: number;
}

/** Entries behind the first in the order wait so much longer each. */
const turnMilliseconds = 300;

/** A duty that this entry competes for. */
export class SessionDuty {
  readonly #options: SessionDutyOptions;
  #holding: Holding | undefined;
  #vacantSince: number | undefined;

  /**
   * Creates a duty that is not held yet.
   * @param options - the duty and the entry's lease
   */
  constructor(options: SessionDutyOptions) {
    this.#options = options;
  }

  /** Whether this entry holds the duty, by its own clock. */
  isHeld(): boolean {
    return this.#holding !== undefined && this.#holding.leaseId === this.#options.session.leaseId();
  }

  /** Rises with each holder. */
  fencingToken(): number {
    return this.#holding?.revision ?? 0;
  }

  /** How long this entry has held the duty. */
  heldForMilliseconds(): number {
    return this.#holding === undefined ? 0 : performance.now() - this.#holding.heldSince;
  }

  /** The condition under which a holder writes. */
  expectHeld(): ExpectedRevision {
    return { key: this.#key(), revision: this.fencingToken() };
  }

  /** Takes the duty if nobody holds it and it is this entry's turn. */
  async compete(): Promise<void> {
    if (this.isHeld()) return;
    this.#holding = undefined;
    const { session, hasHolder, store, entryId, name, log } = this.#options;
    const leaseId = session.leaseId();
    if (leaseId === undefined || hasHolder()) {
      this.#vacantSince = undefined;
      return;
    }
    if (!this.#isMyTurn()) return;
    const value = { entryId, leaseId };
    const expected = [{ key: this.#key(), revision: 0 }];
    const result = await store.transact({ expected, writes: [{ key: this.#key(), value, leaseId }] });
    if (result.kind !== "done") return;
    this.#holding = { leaseId, revision: result.revision, heldSince: performance.now() };
    log.write("info", "duty-acquired", { duty: name, fencingToken: result.revision });
  }

  #key(): string {
    return `${dutyPrefix}${this.#options.name}`;
  }

  #isMyTurn(): boolean {
    const { entries, entryId, name } = this.#options;
    const now = performance.now();
    this.#vacantSince ??= now;
    const place = rendezvousOrder(name, entries()).indexOf(entryId);
    return place >= 0 && now - this.#vacantSince >= place * turnMilliseconds;
  }
}
