/**
 * Weighted fair shares of a full pool. They keep a workspace that sends many times its usual load from displacing the
 * others: each workspace gets a part of the pool's throughput by its weight, unused parts go to the other workspaces,
 * and a workspace that exceeded its part is served after the others for a while.
 * @packageDocumentation
 */
import { createWorkRate, type WorkRate } from "../scheduling/index.js";
import { divideCores } from "./divide-cores.js";
import type { FairShares, ShareRates } from "./owner-workspaces.js";

/** Inputs of the fair shares. */
export interface FairSharesOptions {
  /** Returns a workspace's weight; undefined when the workspace is not configured. */
  readonly weight: (workspace: string) => number | undefined;
  /** Returns the number of cores that serve the pool's jobs. */
  readonly cores: () => number;
}

/** Recent load of one workspace. */
interface Account {
  /** Requested work, accepted or not, in cores. */
  readonly requestedRate: WorkRate;
  /** Accepted work, in cores. */
  readonly acceptedRate: WorkRate;
  /** Accepted core-seconds beyond the workspace's part. */
  excessCoreSeconds: number;
  /** The workspace's part of the pool; infinite while the pool can serve all demands. */
  allowedCores: number;
}

/** Time constant of the exponential decay of the requested and accepted rates. */
const decayMilliseconds = 1_000;
/** Shortest interval between two divisions of the pool; limits the work for each job when there are many workspaces. */
const divisionMilliseconds = 50;
/**
 * At least this fraction of the pool's cores is divided: a lower rate of accepted work says nothing about how much the
 * pool can take.
 */
const minimumDividedFraction = 0.5;
/** Slightly more cores are divided than work was accepted, so that work within the shares alone keeps the pool full. */
const divisionFactor = 1.04;
/** A workspace may exceed its part by this many seconds of it, since jobs arrive in bursts. */
const allowanceSeconds = 1.5;
/**
 * Upper bound on the excess, in seconds of the workspace's part. Without it, work that was accepted while no other
 * workspace waited would put the workspace behind the others for much longer.
 */
const maximumExcessSeconds = 4;
/** Weight of a workspace that is no longer configured, relative to the smallest configured weight. */
const removedWeight = 1e-3;
/** An account is removed when the workspace's load is below this. */
const idleCores = 1e-3;
const millisecondsPerSecond = 1_000;

/**
 * Creates the fair shares of a pool without load.
 * @param options - access to the configured weights and to the pool's current cores
 * @returns fair shares whose methods take the current time in milliseconds of a monotonic clock
 */
export function createFairShares(options: FairSharesOptions): FairShares {
  return new WeightedShares(options);
}

class WeightedShares implements FairShares {
  readonly #options: FairSharesOptions;
  readonly #accounts = new Map<string, Account>();
  #dividedAt = Number.NEGATIVE_INFINITY;

  constructor(options: FairSharesOptions) {
    this.#options = options;
  }

  noteRequested(workspace: string, coreSeconds: number, now: number): void {
    this.#findOrCreate(workspace).requestedRate.note(coreSeconds, now);
  }

  noteAccepted(workspace: string, coreSeconds: number, now: number): void {
    this.#divide(now);
    const account = this.#findOrCreate(workspace);
    account.acceptedRate.note(coreSeconds, now);
    const { excessCoreSeconds, allowedCores } = account;
    if (!Number.isFinite(allowedCores)) return;
    // Over its share, a workspace is served only while no other waits: its excess grows no further than the bound.
    const limit = isOverAllowance(account)
      ? Math.max(excessCoreSeconds, maximumExcessSeconds * allowedCores)
      : Infinity;
    account.excessCoreSeconds = Math.min(limit, excessCoreSeconds + coreSeconds);
  }

  isOverShare(workspace: string, now: number): boolean {
    this.#divide(now);
    const account = this.#accounts.get(workspace);
    return account !== undefined && isOverAllowance(account);
  }

  waitMilliseconds(workspace: string, now: number): number {
    this.#divide(now);
    const account = this.#accounts.get(workspace);
    if (account === undefined || !isOverAllowance(account)) return 0;
    const { excessCoreSeconds, allowedCores } = account;
    return (excessCoreSeconds / allowedCores - allowanceSeconds) * millisecondsPerSecond;
  }

  rates(workspace: string, now: number): ShareRates {
    this.#divide(now);
    const account = this.#accounts.get(workspace);
    return {
      givenCores: account?.acceptedRate.read(now) ?? 0,
      allowedCores: account?.allowedCores ?? Number.POSITIVE_INFINITY,
    };
  }

  #findOrCreate(workspace: string): Account {
    const existing = this.#accounts.get(workspace);
    if (existing !== undefined) return existing;
    const account: Account = {
      requestedRate: createWorkRate(decayMilliseconds),
      acceptedRate: createWorkRate(decayMilliseconds),
      excessCoreSeconds: 0,
      allowedCores: Number.POSITIVE_INFINITY,
    };
    this.#accounts.set(workspace, account);
    return account;
  }

  /** Divides the pool among the workspaces with recent load, unless the last division is too recent. */
  #divide(now: number): void {
    const elapsed = now - this.#dividedAt;
    if (elapsed < divisionMilliseconds) return;
    this.#dividedAt = now;
    for (const account of this.#accounts.values()) decayExcess(account, elapsed);
    this.#removeIdle(now);
    const accounts = [...this.#accounts];
    const weights = this.#readWeights();
    const coreDemands = accounts.map(([workspace, { requestedRate, acceptedRate }]) => ({
      // Retries of refused callers are not counted as requested, but their accepted work is counted.
      cores: Math.max(requestedRate.read(now), acceptedRate.read(now)),
      weight: weights.get(workspace) ?? 1,
    }));
    const acceptedCores = accounts.reduce((sum, [, account]) => sum + account.acceptedRate.read(now), 0);
    const coresForUnitWeight = divideCores(coreDemands, this.#readCores(acceptedCores));
    accounts.forEach(([, account], index) => {
      account.allowedCores = coresForUnitWeight * (coreDemands[index]?.weight ?? 1);
    });
  }

  /** Returns the cores to divide: about the current rate of accepted work, so that the parts add up to that work. */
  #readCores(acceptedCores: number): number {
    const cores = Math.max(0, this.#options.cores());
    return Math.min(cores, Math.max(minimumDividedFraction * cores, divisionFactor * acceptedCores));
  }

  #readWeights(): ReadonlyMap<string, number> {
    const names = [...this.#accounts.keys()];
    const configured = names.map((workspace) => [workspace, this.#options.weight(workspace)] as const);
    const smallest = Math.min(1, ...configured.flatMap(([, weight]) => weight ?? []));
    return new Map(configured.map(([workspace, weight]) => [workspace, weight ?? removedWeight * smallest]));
  }

  /** Removes idle accounts. A removed workspace's excess is dropped with its account, so the map stays small. */
  #removeIdle(now: number): void {
    for (const [workspace, { requestedRate, acceptedRate, excessCoreSeconds }] of this.#accounts) {
      const isIdle = requestedRate.read(now) + acceptedRate.read(now) < idleCores;
      const isRemoved = this.#options.weight(workspace) === undefined;
      if (isIdle && (isRemoved || excessCoreSeconds < idleCores)) this.#accounts.delete(workspace);
    }
  }
}

function isOverAllowance({ excessCoreSeconds, allowedCores }: Account): boolean {
  return Number.isFinite(allowedCores) && excessCoreSeconds > allowanceSeconds * allowedCores;
}

/**
 * Reduces the excess by the workspace's part of the elapsed time; while the pool can serve all demands,
 * exponentially.
 */
function decayExcess(account: Account, elapsedMilliseconds: number): void {
  const { excessCoreSeconds, allowedCores } = account;
  account.excessCoreSeconds = Number.isFinite(allowedCores)
    ? Math.max(0, excessCoreSeconds - (allowedCores * elapsedMilliseconds) / millisecondsPerSecond)
    : excessCoreSeconds * Math.exp(-elapsedMilliseconds / decayMilliseconds);
}
