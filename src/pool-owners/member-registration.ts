/**
 * Writes this entry's member record and restores it when it is gone or was replaced.
 * @packageDocumentation
 */
import { parseMemberRecord, type MemberRecord } from "../membership/index.js";
import type { TransactionalStore } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";

/** Prefix of all records that are bound to the leases of entries. */
export const membersPrefix = "members/";
/** Prefix of the member records. */
export const entryPrefix = `${membersPrefix}entries/`;

/** Dependencies of a registration. */
export interface MemberRegistrationOptions {
  readonly store: TransactionalStore;
  readonly self: MemberRecord;
  /**
   * The revision of this entry's member record in the entry's copy of the member list, from which other entries learn its
   * address as well; undefined while the copy has none.
   */
  readonly listedRevision: () => number | undefined;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** The result of a write; `lease-ended` means that the store does not know the lease any more. */
export type RegistrationResult = "written" | "failed" | "lease-ended";

/** The record has another revision than the one to replace; 0 when there is none. */
interface RegistrationConflict {
  readonly revision: number;
}

/**
 * This entry's member record. Each write is conditional on the revision of the record that it replaces. Thus a write
 * without an answer cannot replace a later record when it is carried out late.
 */
export class MemberRegistration {
  readonly #options: MemberRegistrationOptions;
  readonly #key: string;
  /** The revision of the last record that this entry wrote; undefined while its outcome is not known. */
  #revision: number | undefined;
  /** The lease to which the record is bound, or is to be bound. */
  #leaseId: string | undefined;

  /**
   * Creates a registration that has not written the record yet.
   * @param options - the store and the record
   */
  constructor(options: MemberRegistrationOptions) {
    this.#options = options;
    this.#key = `${entryPrefix}${options.self.entryId}`;
  }

  /**
   * Writes the record, also in place of one that an earlier process of this entry left. The revision to replace is not read
   * first, which would take another call to a slow store: a conflict tells it.
   * @param leaseId - the lease to which the record is bound
   * @returns the result; after `failed` the write may be tried again with the same lease
   */
  async register(leaseId: string): Promise<RegistrationResult> {
    this.#leaseId = leaseId;
    const first = await this.#replace(this.#options.listedRevision() ?? 0, leaseId);
    const result = typeof first === "string" ? first : await this.#replace(first.revision, leaseId);
    return typeof result === "string" ? result : "failed";
  }

  /**
   * Checks whether the record that this entry wrote is still listed; if not, reads it from the store and writes it again
   * when it is gone or is not the one that this entry wrote. Does nothing once the record is registered under another lease.
   * @param leaseId - the valid lease of this entry
   */
  async restoreIfReplaced(leaseId: string): Promise<void> {
    const { store, self, listedRevision, log, metrics } = this.#options;
    const ownRevision = this.#revision;
    if (ownRevision !== undefined && listedRevision() === ownRevision) return;
    const found = await store.get(this.#key);
    if (found.isLeft() || this.#leaseId !== leaseId) return;
    const current = found.orDefault(undefined);
    // The copy may be older than the record.
    if (current !== undefined && current.revision === ownRevision) return;
    const incarnation = parseMemberRecord(current?.value)?.incarnation;
    const state = describeRecord(incarnation, self.incarnation);
    // A later process of this entry has its own record.
    const written = state === "later-process" ? "left" : await this.#replace(current?.revision ?? 0, leaseId);
    const result = typeof written === "string" ? written : "failed";
    log.write("warn", "member-record-replaced", { state, result, revision: current?.revision, leaseId });
    metrics.count("member_records_replaced_total", { state, result });
  }

  /** Writes the record once; a conflict gives the revision that the record has. */
  async #replace(
    expectedRevision: number,
    leaseId: string,
  ): Promise<RegistrationResult | RegistrationConflict> {
    const { store, self } = this.#options;
    this.#revision = undefined;
    const result = await store.transact({
      expected: [{ key: this.#key, revision: expectedRevision }],
      writes: [{ key: this.#key, value: self, leaseId }],
    });
    if (result.kind === "done") {
      this.#revision = result.revision;
      return "written";
    }
    if (result.kind === "conflict") {
      const current = result.current.find(({ key }) => key === this.#key);
      return { revision: current?.revision ?? 0 };
    }
    return result.kind === "not-done" && result.failure.kind === "lease-ended" ? "lease-ended" : "failed";
  }
}

/** Describes what the store holds in place of the record that an entry wrote. */
function describeRecord(
  incarnation: number | undefined,
  ownIncarnation: number,
): "absent" | "earlier-process" | "same-process" | "later-process" {
  if (incarnation === undefined) return "absent";
  if (incarnation === ownIncarnation) return "same-process";
  return incarnation < ownIncarnation ? "earlier-process" : "later-process";
}
