/**
 * The roster of entries in the store. Each entry keeps its own record under a lease.
 * @packageDocumentation
 */
import { z } from "zod";
import { writeAndSettle, type StoreClient, type StoreMirror } from "../platform/index.js";
import { delay, parseWith } from "../shared/index.js";
import type { Log } from "../telemetry/index.js";

/** Prefix of the entries' records. */
export const rosterPrefix = "entries/";

const rosterRecordSchema = z.object({
  entryId: z.string(),
  /** Start time of the process, higher after each restart. */
  incarnation: z.number(),
  /** `IP:port` where peers connect. */
  peerAddress: z.string(),
  zone: z.string(),
});

/** One entry's record. */
export type RosterRecord = z.infer<typeof rosterRecordSchema>;

/** The roster of entries. */
export interface Roster {
  /** All entries with a record, this one included once registered. */
  entries(): RosterRecord[];
  /** Removes this entry's record and stops renewing it. */
  leave(): Promise<void>;
  /** Stops renewing the record, which then ends with its lease. */
  abandon(): void;
}

const leaseSeconds = 10;
const renewMilliseconds = 3_000;
const retryMilliseconds = 500;

/**
 * Registers this entry and keeps its record while the process runs.
 * @param store - the platform's store
 * @param mirror - mirror of the roster's prefix
 * @param self - this entry's record
 * @param log - takes events
 * @returns the roster
 */
export function createRoster(store: StoreClient, mirror: StoreMirror, self: RosterRecord, log: Log): Roster {
  const stop = new AbortController();
  let leaseId: string | undefined;

  const register = async (): Promise<boolean> => {
    const lease = await store.grantLease(leaseSeconds);
    leaseId = lease.map((granted) => granted.leaseId).orDefault(undefined as never);
    return lease.isRight() && leaseId !== "" && writeOwnRecord(store, self, leaseId);
  };

  const renewWhileStanding = async (): Promise<void> => {
    while (!stop.signal.aborted && leaseId !== undefined) {
      await delay(renewMilliseconds, stop.signal);
      const renewed = await store.renewLease(leaseId);
      if (renewed.isRight() && !renewed.orDefault(true)) return;
    }
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      if (await register()) {
        log.write("info", "entry-registered", { incarnation: self.incarnation });
        await renewWhileStanding();
      } else {
        await delay(retryMilliseconds, stop.signal);
      }
    }
  };

  void run();
  return {
    entries: () =>
      [...mirror.records().values()].flatMap(({ value }) =>
        parseWith(rosterRecordSchema, value).caseOf<RosterRecord[]>({
          Left: () => [],
          Right: (record) => [record],
        }),
      ),
    abandon: () => {
      stop.abort();
    },
    leave: async () => {
      stop.abort();
      if (leaseId !== undefined) await store.revokeLease(leaseId);
    },
  };
}

async function writeOwnRecord(store: StoreClient, self: RosterRecord, leaseId: string): Promise<boolean> {
  const key = `${rosterPrefix}${self.entryId}`;
  const found = await store.get(key);
  if (found.isLeft()) return false;
  const expectedRevision = found.map((record) => record?.revision ?? 0).orDefault(0);
  const isOwn = (value: unknown): boolean =>
    (value as RosterRecord | undefined)?.incarnation === self.incarnation;
  const result = await writeAndSettle(store, { key, value: self, expectedRevision, leaseId }, isOwn);
  return result.kind === "done";
}
