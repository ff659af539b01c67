/**
 * Shares of a full pool. Answers a workspace that sends many times its usual while the others ask for what they always
 * do: by weight each has a part of what the pool can take, what one leaves goes to the rest, and what was taken beyond
 * its part lets a workspace go after the others for a while.
 * @packageDocumentation
 */
import { createWorkRate, type WorkRate } from "../scheduling/index.js";
import { divideCores } from "./divide-cores.js";
import type { FairShares, ShareRates } from "./owner-workspaces.js";

/** What shares depend on. */
export interface FairSharesOptions {
  /** Reads a workspace's weight; undefined for one that is not configured. */
  readonly weight: (workspace: string) => number | undefined;
  /** Reads the cores that serve the pool's jobs. */
  readonly cores: () => number;
}

/** What is known of a workspace that lately asked for work. */
interface Account {
  readonly asked: WorkRate;
  readonly given: WorkRate;
  /** Core-seconds that it was given beyond its part. */
  ahead: number;
  /** Cores that are its part; infinite while the pool has enough for all. */
  allowedCores: number;
}

/** Time constant with which work that was asked for or given loses weight. */
const decayMilliseconds = 1_000;
/** The pool is divided anew no sooner than this. */
const divisionMilliseconds = 50;
/** Less than this part of the cores is no measure of what a pool can take. */
const leastShare = 0.5;
/** A little more is divided than was given, so that work within the shares keeps the pool full by itself. */
const divisionFactor = 1.04;
/** A workspace may be ahead of its part by what that is in so many seconds, since jobs come in groups. */
const allowanceSeconds = 1.5;
/** Work that it was given while nobody waited puts it back no further than this. */
const longestAheadSeconds = 4;
/** The weight of a workspace that is not configured any more, against the least one that is known. */
const removedWeight = 1e-3;
/** A workspace that asks for less is forgotten. */
const forgottenCores = 1e-3;
const millisecondsPerSecond = 1_000;

/**
 * Creates shares of a pool that nobody has asked for anything.
 * @param options - the weights and the pool's cores
 * @returns the shares
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
    this.#open(workspace).asked.note(coreSeconds, now);
  }

  noteAccepted(workspace: string, coreSeconds: number, now: number): void {
    this.#divide(now);
    const account = this.#open(workspace);
    account.given.note(coreSeconds, now);
    const { ahead, allowedCores } = account;
    if (!Number.isFinite(allowedCores)) return;
    // Beyond its share it is given only what nobody waits for.
    const most = isAhead(account) ? Math.max(ahead, longestAheadSeconds * allowedCores) : Infinity;
    account.ahead = Math.min(most, ahead + coreSeconds);
  }

  isOverShare(workspace: string, now: number): boolean {
    this.#divide(now);
    const account = this.#accounts.get(workspace);
    return account !== undefined && isAhead(account);
  }

  waitMilliseconds(workspace: string, now: number): number {
    this.#divide(now);
    const account = this.#accounts.get(workspace);
    if (account === undefined || !isAhead(account)) return 0;
    const { ahead, allowedCores } = account;
    return (ahead / allowedCores - allowanceSeconds) * millisecondsPerSecond;
  }

  rates(workspace: string, now: number): ShareRates {
    this.#divide(now);
    const account = this.#accounts.get(workspace);
    return {
      givenCores: account?.given.read(now) ?? 0,
      allowedCores: account?.allowedCores ?? Number.POSITIVE_INFINITY,
    };
  }

  #open(workspace: string): Account {
    const known = this.#accounts.get(workspace);
    if (known !== undefined) return known;
    const account: Account = {
      asked: createWorkRate(decayMilliseconds),
      given: createWorkRate(decayMilliseconds),
      ahead: 0,
      allowedCores: Number.POSITIVE_INFINITY,
    };
    this.#accounts.set(workspace, account);
    return account;
  }

  /** Divides the pool among those that ask now. */
  #divide(now: number): void {
    const elapsed = now - this.#dividedAt;
    if (elapsed < divisionMilliseconds) return;
    this.#dividedAt = now;
    for (const account of this.#accounts.values()) fallBack(account, elapsed);
    this.#forgetQuiet(now);
    const accounts = [...this.#accounts];
    const weights = this.#readWeights();
    const coreDemands = accounts.map(([workspace, { asked, given }]) => ({
      // Callers that come again are not counted as asking; what they are given is.
      cores: Math.max(asked.read(now), given.read(now)),
      weight: weights.get(workspace) ?? 1,
    }));
    const given = accounts.reduce((sum, [, account]) => sum + account.given.read(now), 0);
    const coresForUnitWeight = divideCores(coreDemands, this.#readCores(given));
    accounts.forEach(([, account], index) => {
      account.allowedCores = coresForUnitWeight * (coreDemands[index]?.weight ?? 1);
    });
  }

  /** What can be divided: about what the pool takes at present, so that all that is given is in somebody's part. */
  #readCores(givenCores: number): number {
    const cores = Math.max(0, this.#options.cores());
    return Math.min(cores, Math.max(leastShare * cores, divisionFactor * givenCores));
  }

  #readWeights(): ReadonlyMap<string, number> {
    const names = [...this.#accounts.keys()];
    const known = names.map((workspace) => [workspace, this.#options.weight(workspace)] as const);
    const least = Math.min(1, ...known.flatMap(([, weight]) => weight ?? []));
    return new Map(known.map(([workspace, weight]) => [workspace, weight ?? removedWeight * least]));
  }

  /** The weights tell who is configured, so that only names of the last seconds are held. */
  #forgetQuiet(now: number): void {
    for (const [workspace, { asked, given, ahead }] of this.#accounts) {
      const isQuiet = asked.read(now) + given.read(now) < forgottenCores;
      const isRemoved = this.#options.weight(workspace) === undefined;
      if (isQuiet && (isRemoved || ahead < forgottenCores)) this.#accounts.delete(workspace);
    }
  }
}

function isAhead({ ahead, allowedCores }: Account): boolean {
  return Number.isFinite(allowedCores) && ahead > allowanceSeconds * allowedCores;
}

/** Lets what a workspace is ahead fall by its part; where all have enough it is forgotten. */
function fallBack(account: Account, elapsedMilliseconds: number): void {
  const { ahead, allowedCores } = account;
  account.ahead = Number.isFinite(allowedCores)
    ? Math.max(0, ahead - (allowedCores * elapsedMilliseconds) / millisecondsPerSecond)
    : ahead * Math.exp(-elapsedMilliseconds / decayMilliseconds);
}
