/**
 * Leader roles: work that one entry at a time does, elected by a key with a lease in the store.
 * The lease only avoids duplicate work and is no fence: every write of a leader has to be a compare-and-swap.
 * @packageDocumentation
 */
import { Left, type Either } from "purify-ts";
import { writeAndSettle, type StoreClient, type StoreFailure } from "../store/index.js";
import { delay, withTimeout } from "../shared/index.js";
import type { Log } from "../telemetry/index.js";

/** A leader role that this entry competes for. */
export interface LeaderRole {
  /** Whether this entry holds the role; false once its lease may have ended by the monotonic clock of this process. */
  isHeld(): boolean;
  /**
   * Stops competing, waits for the step in progress and revokes the lease, so that another entry can take over
   * without waiting for its expiry.
   */
  close(): Promise<void>;
  /** Stops competing without revoking the lease, which then expires. */
  abandon(): void;
}

/** Options of a leader role. */
export interface LeaderRoleOptions {
  readonly store: StoreClient;
  /** Name of the role, unique among roles; part of the store key. */
  readonly name: string;
  readonly entryId: string;
  readonly log: Log;
  /**
   * One step of the role's work, repeated while the role is held. The signal aborts when the lease may have ended, and
   * when the role is closed or abandoned.
   */
  step(signal: AbortSignal): Promise<void>;
  /** Delay between two steps. */
  readonly periodMilliseconds: number;
  /** Whether this entry competes, evaluated before each attempt; by default every entry does. */
  readonly isCandidate?: () => boolean;
}

const leaseSeconds = 6;
const renewIntervalMilliseconds = 2_000;
const renewRetryMilliseconds = 500;
/** The holder stops this long before the lease ends, since its clock may run slower than that of the store. */
const leaseMarginMilliseconds = 500;
const acquireRetryMilliseconds = 1_000;
const millisecondsPerSecond = 1_000;

interface HeldLease {
  readonly leaseId: string;
  /** When the holder must stop, in milliseconds of this process's monotonic clock. */
  validUntil: number;
}

/**
 * Starts to compete for a leader role.
 * @param options - the role's name and its work
 * @returns a handle on the role, not yet held
 */
export function createLeaderRole(options: LeaderRoleOptions): LeaderRole {
  const { store, name, entryId, log } = options;
  const stop = new AbortController();
  const isStopped = (): boolean => stop.signal.aborted;
  let heldLease: HeldLease | undefined;

  const runStepsWhileHeld = async (lease: HeldLease): Promise<void> => {
    const lost = new AbortController();
    const ended = AbortSignal.any([stop.signal, lost.signal]);
    const renewing = renewWhileValid(store, lease, ended).then(() => {
      lost.abort();
    });
    while (!ended.aborted && isLeaseValid(lease)) {
      await options.step(ended);
      await delay(options.periodMilliseconds, ended);
    }
    lost.abort();
    await renewing;
  };

  const run = async (): Promise<void> => {
    while (!isStopped()) {
      const isCandidate = options.isCandidate?.() ?? true;
      heldLease = isCandidate ? await acquireLease(store, name, entryId) : undefined;
      if (heldLease === undefined) {
        await delay(acquireRetryMilliseconds, stop.signal);
        continue;
      }
      log.write("info", "duty-acquired", { duty: name });
      await runStepsWhileHeld(heldLease);
      if (!isStopped()) log.write("warn", "duty-lost", { duty: name });
    }
  };

  const finished = run();
  return {
    isHeld: () => heldLease !== undefined && isLeaseValid(heldLease),
    abandon: () => {
      stop.abort();
    },
    close: async () => {
      stop.abort();
      await finished;
      if (heldLease !== undefined) await store.revokeLease(heldLease.leaseId);
      heldLease = undefined;
    },
  };
}

function isLeaseValid({ validUntil }: HeldLease): boolean {
  return performance.now() < validUntil;
}

/** Counts from when the request was sent, since the store may have started the lease at any time after that. */
function leaseEndFor(requestSentAt: number): number {
  return requestSentAt + leaseSeconds * millisecondsPerSecond - leaseMarginMilliseconds;
}

async function acquireLease(
  store: StoreClient,
  name: string,
  entryId: string,
): Promise<HeldLease | undefined> {
  const key = `duties/${name}`;
  const found = await store.get(key);
  if (found.isLeft() || found.orDefault(undefined) !== undefined) return undefined;
  const requestSentAt = performance.now();
  const lease = await store.grantLease(leaseSeconds);
  if (lease.isLeft()) return undefined;
  const { leaseId } = lease.unsafeCoerce();
  const value = { entryId, leaseId };
  const isOwn = (current: unknown): boolean => (current as typeof value | undefined)?.leaseId === leaseId;
  const result = await writeAndSettle(store, { key, value, expectedRevision: 0, leaseId }, isOwn);
  if (result.kind === "done") return { leaseId, validUntil: leaseEndFor(requestSentAt) };
  // A write that is still in flight is rejected by the store once its lease no longer exists.
  await store.revokeLease(leaseId);
  return undefined;
}

/** Renews a lease until the store reports its end, it may have expired, or the signal aborts. */
async function renewWhileValid(store: StoreClient, lease: HeldLease, signal: AbortSignal): Promise<void> {
  let waitMilliseconds = renewIntervalMilliseconds;
  while (isLeaseValid(lease)) {
    await delay(Math.min(waitMilliseconds, lease.validUntil - performance.now()), signal);
    const requestSentAt = performance.now();
    const remainingMilliseconds = lease.validUntil - requestSentAt;
    if (signal.aborted || remainingMilliseconds <= 0) return;
    const timedOut: Either<StoreFailure, boolean> = Left({
      kind: "timeout",
      message: "the lease may have ended",
    });
    const renewed = await withTimeout(store.renewLease(lease.leaseId), remainingMilliseconds, timedOut);
    if (renewed.isRight() && !renewed.orDefault(false)) return;
    if (renewed.isRight()) lease.validUntil = leaseEndFor(requestSentAt);
    waitMilliseconds = renewed.isRight() ? renewIntervalMilliseconds : renewRetryMilliseconds;
  }
}
