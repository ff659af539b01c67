/**
 * This entry's lease in the store. Its record in the member list and the records of the pools that it owns are bound to
 * the lease.
 * @packageDocumentation
 */
import Emittery from "emittery";
import { Left, type Either } from "purify-ts";
import { delay, withTimeout } from "../shared/index.js";
import type { StoreFailure, TransactionalStore } from "../store/index.js";
import { MemberRegistration, type MemberRegistrationOptions } from "./member-registration.js";

/** Events of a session. */
export interface EntrySessionEvents {
  /** A lease was granted and the entry's member record is written. */
  opened: { readonly leaseId: string };
  /** The lease has ended or may have ended. */
  lost: { readonly leaseId: string; readonly reason: string };
}

/** This entry's lease in the store. */
export interface EntrySession {
  readonly events: Emittery<EntrySessionEvents>;
  /** The lease that is certainly valid now; undefined while there is none. */
  leaseId(): string | undefined;
  /** Until when the lease is certainly valid, by the monotonic clock; negative infinity without a lease. */
  validUntil(): number;
  /** Revokes the lease, so that other entries need not wait until it expires. */
  close(): Promise<void>;
}

/** Dependencies and settings of a session. */
export interface EntrySessionOptions extends MemberRegistrationOptions {
  readonly leaseMilliseconds: number;
}

const renewalsPerLease = 4;
/** This entry treats its lease as expired this much earlier than the store, because their clocks run at different rates. */
const marginMilliseconds = 300;
const retryMilliseconds = 200;
const millisecondsPerSecond = 1_000;

interface ActiveLease {
  readonly leaseId: string;
  /** By the monotonic clock. */
  until: number;
  /** By the wall clock, which also counts time during which the machine was suspended. */
  untilUnix: number;
}

/** A point in time by both clocks. */
interface Moment {
  readonly monotonic: number;
  readonly unix: number;
}

function readClocks(): Moment {
  return { monotonic: performance.now(), unix: Date.now() };
}

/** Computes until when a lease that was requested at a point in time is certainly valid, by both clocks. */
function computeLeaseEnd(
  { monotonic, unix }: Moment,
  leaseMilliseconds: number,
): Pick<ActiveLease, "until" | "untilUnix"> {
  const validMilliseconds = leaseMilliseconds - marginMilliseconds;
  return { until: monotonic + validMilliseconds, untilUnix: unix + validMilliseconds };
}

function isUnexpired(lease: ActiveLease | undefined): lease is ActiveLease {
  return lease !== undefined && performance.now() < lease.until;
}

/**
 * Whether the lease has expired by the wall clock only: either the wall clock has jumped, or the machine was suspended.
 * The lease may not be used until the store has confirmed it.
 */
function needsConfirmation({ untilUnix }: ActiveLease): boolean {
  return Date.now() >= untilUnix;
}

/** Renews a lease once; a renewal counts from when it was asked for. */
async function renewOnce(
  store: TransactionalStore,
  lease: ActiveLease,
  leaseMilliseconds: number,
): Promise<"renewed" | "failed" | "ended"> {
  const requestSentAt = readClocks();
  const timedOut: Either<StoreFailure, boolean> = Left({
    kind: "timeout",
    message: "the lease may have ended",
  });
  const left = Math.max(0, lease.until - requestSentAt.monotonic);
  const renewed = await withTimeout(store.renewLease(lease.leaseId), left, timedOut);
  if (renewed.isLeft()) return "failed";
  if (!renewed.orDefault(false)) return "ended";
  Object.assign(lease, computeLeaseEnd(requestSentAt, leaseMilliseconds));
  return "renewed";
}

/** Writes the member record until a write succeeds or the lease may have ended; returns whether the lease can be used. */
async function registerUnder(
  registration: MemberRegistration,
  lease: ActiveLease,
  stop: AbortSignal,
): Promise<boolean> {
  while (!stop.aborted && isUnexpired(lease)) {
    const result = await registration.register(lease.leaseId);
    if (result === "written") return isUnexpired(lease);
    if (result === "lease-ended") return false;
    await delay(retryMilliseconds, stop);
  }
  return false;
}

/** The wait before the next renewal, which can be cut short. */
class RenewalPause {
  #abortController = new AbortController();
  #isHurried = false;

  async wait(milliseconds: number): Promise<void> {
    this.#abortController = new AbortController();
    await delay(milliseconds, this.#abortController.signal);
  }

  /** Ends the wait, but only once until a renewal succeeds, so that a store that does not answer is not flooded. */
  hurry(): void {
    if (!this.#isHurried) this.end();
    this.#isHurried = true;
  }

  noteRenewed(): void {
    this.#isHurried = false;
  }

  end(): void {
    this.#abortController.abort();
  }
}

/**
 * Opens a session and renews its lease until it is closed. A lost lease is replaced by a new one.
 * @param options - the store and this entry's member record
 * @returns the session, which has no lease yet
 */
export function openEntrySession(options: EntrySessionOptions): EntrySession {
  const { store, log, leaseMilliseconds } = options;
  const events = new Emittery<EntrySessionEvents>();
  const registration = new MemberRegistration(options);
  const stop = new AbortController();
  let lease: ActiveLease | undefined;
  const pause = new RenewalPause();

  const isStopped = (): boolean => stop.signal.aborted;
  const readValidLeaseId = (): string | undefined => {
    if (!isUnexpired(lease)) return undefined;
    if (!needsConfirmation(lease)) return lease.leaseId;
    pause.hurry();
    return undefined;
  };

  const openLease = async (): Promise<boolean> => {
    const requestSentAt = readClocks();
    const granted = await store.grantLease(leaseMilliseconds / millisecondsPerSecond);
    if (granted.isLeft()) return false;
    const { leaseId } = granted.unsafeCoerce();
    const opened = { leaseId, ...computeLeaseEnd(requestSentAt, leaseMilliseconds) };
    if (!(await registerUnder(registration, opened, stop.signal))) {
      void store.revokeLease(leaseId);
      return false;
    }
    lease = opened;
    log.write("info", "entry-session-opened", { leaseId, leaseMilliseconds });
    void events.emit("opened", { leaseId });
    return true;
  };

  const renewUntilLost = async (standing: ActiveLease): Promise<string> => {
    let wait = leaseMilliseconds / renewalsPerLease;
    while (!isStopped() && isUnexpired(lease)) {
      await pause.wait(Math.min(wait, standing.until - performance.now()));
      if (isStopped()) return "closed";
      const result = await renewOnce(store, standing, leaseMilliseconds);
      if (result === "ended") return "the store has ended it";
      wait = result === "renewed" ? leaseMilliseconds / renewalsPerLease : retryMilliseconds;
      if (result === "failed") continue;
      pause.noteRenewed();
      void registration.restoreIfReplaced(standing.leaseId);
    }
    return "not renewed in time";
  };

  const run = async (): Promise<void> => {
    while (!isStopped()) {
      if (!(await openLease()) || lease === undefined) {
        await delay(retryMilliseconds, stop.signal);
        continue;
      }
      const standing = lease;
      const reason = await renewUntilLost(standing);
      if (isStopped()) return;
      lease = undefined;
      log.write("warn", "entry-session-lost", { leaseId: standing.leaseId, reason });
      void events.emit("lost", { leaseId: standing.leaseId, reason });
      // Renewals whose answers were late may have kept the lease in the store. The revocation frees its records at once.
      void store.revokeLease(standing.leaseId);
    }
  };

  void run();
  return {
    events,
    leaseId: readValidLeaseId,
    validUntil: () => lease?.until ?? Number.NEGATIVE_INFINITY,
    close: async () => {
      stop.abort();
      pause.end();
      if (lease !== undefined) await store.revokeLease(lease.leaseId);
      lease = undefined;
    },
  };
}
