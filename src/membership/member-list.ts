/**
 * The member list of entries in the store. Each entry keeps its own record under a lease.
 * @packageDocumentation
 */
import { writeAndSettle, type StoreClient, type StoreMirror } from "../store/index.js";
import { delay } from "../shared/index.js";
import type { Log } from "../telemetry/index.js";
import { parseMemberRecord, type MemberRecord } from "./messages.js";

/** Prefix of the entries' records. */
export const memberListPrefix = "entries/";

/** The member list of entries. */
export interface MemberList {
  /** All entries with a record, this one included once registered. */
  entries(): MemberRecord[];
  /** Takes records that peers know; they count until the store was read. */
  learn(records: readonly MemberRecord[]): void;
  /** Removes this entry's record and stops renewing it. */
  leave(): Promise<void>;
  /** Stops renewing the record, which then ends with its lease. */
  abandon(): void;
}

const shortestLeaseSeconds = 10;
/** A lease is renewed three times, and a little more, before it would end. */
const renewalIntervalShare = 0.3;
/** Renewals by all entries together. */
const renewalsPerSecond = 50;
/** A lease is replaced when the member list's size asks for one this many times as long. */
const leaseGrowthFactor = 2;
const registerRetryMilliseconds = 500;
const millisecondsPerSecond = 1_000;

/**
 * Computes how long a lease of an entry's record lasts. Peers find out sooner that an entry has stopped; the lease
 * only clears the record away.
 * @param memberCount - how many entries there are
 * @returns the time in seconds
 */
export function leaseSecondsFor(memberCount: number): number {
  return Math.max(shortestLeaseSeconds, Math.ceil(memberCount / renewalsPerSecond / renewalIntervalShare));
}

/**
 * Registers this entry and keeps its record while the process runs.
 * @param store - the platform's store
 * @param mirror - mirror of the member list's prefix
 * @param self - this entry's record
 * @param log - takes events
 * @returns the member list
 */
export function createMemberList(
  store: StoreClient,
  mirror: StoreMirror,
  self: MemberRecord,
  log: Log,
): MemberList {
  const stop = new AbortController();
  const isStopped = (): boolean => stop.signal.aborted;
  let leaseId: string | undefined;
  let learned: readonly MemberRecord[] = [];

  const register = async (leaseSeconds: number): Promise<RegistrationResult> => {
    const lease = await store.grantLease(leaseSeconds);
    if (lease.isLeft()) return "failed";
    leaseId = lease.unsafeCoerce().leaseId;
    return writeOwnRecord(store, self, leaseId);
  };

  const renewWhileValid = async (leaseSeconds: number): Promise<void> => {
    while (!isStopped() && leaseId !== undefined) {
      await delay(leaseSeconds * renewalIntervalShare * millisecondsPerSecond, stop.signal);
      if (isStopped()) return;
      const renewed = await store.renewLease(leaseId);
      if (renewed.isRight() && !renewed.orDefault(true)) return;
      if (leaseSecondsFor(mirror.records().size) >= leaseSeconds * leaseGrowthFactor) return;
    }
  };

  const run = async (): Promise<void> => {
    while (!isStopped()) {
      const leaseSeconds = leaseSecondsFor(mirror.records().size);
      const result = await register(leaseSeconds);
      if (result === "superseded") {
        log.write("error", "entry-superseded", { incarnation: self.incarnation });
        return;
      }
      if (result === "registered") {
        log.write("info", "entry-registered", { incarnation: self.incarnation, leaseSeconds });
        await renewWhileValid(leaseSeconds);
      } else {
        await delay(registerRetryMilliseconds, stop.signal);
      }
    }
  };

  void run();
  return {
    entries: () => (mirror.confirmedAt() > 0 ? decodeRecords(mirror) : [...learned]),
    learn: (records) => {
      learned = records;
    },
    abandon: () => {
      stop.abort();
    },
    leave: async () => {
      stop.abort();
      if (leaseId !== undefined) await store.revokeLease(leaseId);
    },
  };
}

function decodeRecords(mirror: StoreMirror): MemberRecord[] {
  return [...mirror.records().values()].flatMap(({ value }) => parseMemberRecord(value) ?? []);
}

type RegistrationResult = "registered" | "failed" | "superseded";

async function writeOwnRecord(
  store: StoreClient,
  self: MemberRecord,
  leaseId: string,
): Promise<RegistrationResult> {
  const key = `${memberListPrefix}${self.entryId}`;
  const found = await store.get(key);
  if (found.isLeft()) return "failed";
  const current = found.orDefault(undefined);
  const registered = parseMemberRecord(current?.value);
  // A process that was paused while its successor registered must not take the name back.
  if (registered !== undefined && registered.incarnation > self.incarnation) {
    await store.revokeLease(leaseId);
    return "superseded";
  }
  const isOwn = (value: unknown): boolean => parseMemberRecord(value)?.incarnation === self.incarnation;
  const write = { key, value: self, expectedRevision: current?.revision ?? 0, leaseId };
  const result = await writeAndSettle(store, write, isOwn);
  return result.kind === "done" ? "registered" : "failed";
}
