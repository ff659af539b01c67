/**
 * Control duties: work that one entry at a time does, held under a lease in the store.
 * The lease only saves doubled work; every write of a duty is a compare-and-swap of its own.
 * @packageDocumentation
 */
import { writeAndSettle, type StoreClient } from "../platform/index.js";
import { delay } from "../shared/index.js";
import type { Log } from "../telemetry/index.js";

/** A duty that this entry competes for. */
export interface Duty {
  /** Whether this entry holds the duty as far as it knows. */
  isHeld(): boolean;
  /** Gives the duty up and stops competing. */
  close(): Promise<void>;
  /** Stops at once and leaves the lease to end by itself. */
  abandon(): void;
}

/** Settings of a duty. */
export interface DutyOptions {
  readonly store: StoreClient;
  readonly name: string;
  readonly entryId: string;
  readonly log: Log;
  /** One step of the duty's work, called again and again while the duty is held. */
  step(signal: AbortSignal): Promise<void>;
  /** The wait between steps. */
  readonly periodMilliseconds: number;
}

const leaseSeconds = 6;
const competeMilliseconds = 1_000;

/**
 * Starts to compete for a duty.
 * @param options - the duty and its work
 * @returns the duty
 */
export function createDuty(options: DutyOptions): Duty {
  const { store, name, entryId, log } = options;
  const key = `duties/${name}`;
  const stop = new AbortController();
  let leaseId: string | undefined;

  const acquire = async (): Promise<boolean> => {
    const found = await store.get(key);
    if (found.isLeft() || found.orDefault(undefined) !== undefined) return false;
    const lease = await store.grantLease(leaseSeconds);
    if (lease.isLeft()) return false;
    const { leaseId: granted } = lease.unsafeCoerce();
    const value = { entryId, leaseId: granted };
    const isOwn = (held: unknown): boolean => (held as typeof value | undefined)?.leaseId === granted;
    const result = await writeAndSettle(store, { key, value, expectedRevision: 0, leaseId: granted }, isOwn);
    if (result.kind !== "done") return false;
    leaseId = granted;
    log.write("info", "duty-acquired", { duty: name });
    return true;
  };

  const work = async (): Promise<void> => {
    while (!stop.signal.aborted && leaseId !== undefined) {
      const renewed = await store.renewLease(leaseId);
      if (!renewed.orDefault(false)) break;
      await options.step(stop.signal);
      await delay(options.periodMilliseconds, stop.signal);
    }
    if (!stop.signal.aborted) log.write("warn", "duty-lost", { duty: name });
    if (!stop.signal.aborted) leaseId = undefined;
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      if (await acquire()) await work();
      else await delay(competeMilliseconds, stop.signal);
    }
  };

  const finished = run();
  return {
    isHeld: () => leaseId !== undefined,
    abandon: () => {
      stop.abort();
    },
    close: async () => {
      stop.abort();
      await finished;
      if (leaseId !== undefined) await store.revokeLease(leaseId);
      leaseId = undefined;
    },
  };
}
