/**
 * The member list of entries in the store. Each entry writes its own record under a lease.
 * @packageDocumentation
 */
import { writeAndSettle, type StoreClient, type StoreMirror } from "../store/index.js";
import { delay } from "../shared/index.js";
import type { Log } from "../telemetry/index.js";
import { parseMemberRecord, type MemberRecord } from "./messages.js";

/** Store prefix of the entries' records. */
export const memberListPrefix = "entries/";

/** The member list of entries. */
export interface MemberList {
  /** Records of all entries; contains this one once it is registered. */
  entries(): MemberRecord[];
  /** Replaces the records used until the first list of the store succeeds; they come from the lists of peers. */
  learn(records: readonly MemberRecord[]): void;
  /** Stops renewing this entry's lease and revokes it, which removes the record. */
  leave(): Promise<void>;
  /** Stops renewing this entry's lease; the store removes the record when the lease expires. */
  abandon(): void;
}

const shortestLeaseSeconds = 10;
/** Share of the lease after which it is renewed: three attempts fit before it expires, with a margin of a tenth. */
const renewalIntervalShare = 0.3;
/** Maximum rate of renewals by all entries together; leases get longer with the number of entries to stay below it. */
const renewalsPerSecond = 50;
/** A lease is replaced when the number of members requires one this many times as long. */
const leaseGrowthFactor = 2;
const registerRetryMilliseconds = 500;
const millisecondsPerSecond = 1_000;

/**
 * Computes the time to live of the lease of an entry's record. The lease only removes stale records; peers detect a
 * stopped entry sooner, by its heartbeats.
 * @param memberCount - number of entries, 0 or more
 * @returns whole seconds, at least 10
 */
export function leaseSecondsFor(memberCount: number): number {
  return Math.max(shortestLeaseSeconds, Math.ceil(memberCount / renewalsPerSecond / renewalIntervalShare));
}

/**
 * Registers this entry and renews its lease until the entry leaves or is superseded.
 * @param store - client of the platform's store
 * @param mirror - mirror of `memberListPrefix`
 * @param self - record to write for this entry
 * @param log - receives `entry-registered` and `entry-superseded`
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
  // A process that was paused while its successor registered must not replace the successor's record.
  if (registered !== undefined && registered.incarnation > self.incarnation) {
    await store.revokeLease(leaseId);
    return "superseded";
  }
  const isOwn = (value: unknown): boolean => parseMemberRecord(value)?.incarnation === self.incarnation;
  const write = { key, value: self, expectedRevision: current?.revision ?? 0, leaseId };
  const result = await writeAndSettle(store, write, isOwn);
  return result.kind === "done" ? "registered" : "failed";
}
