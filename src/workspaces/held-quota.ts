/**
 * The state of one workspace's cap at the owner of one pool. Callers pass the time.
 * @packageDocumentation
 */
import type { StoreRecord } from "../store/index.js";
import { QuotaCopy } from "./quota-copy.js";
import {
  addAmounts,
  byResource,
  isSome,
  noAmounts,
  type Amounts,
  type PoolShare,
  type QuotaRecord,
} from "./quota-record.js";
import { availableShare, chooseShare, isWorthWriting, reachableShare, withShare } from "./quota-shares.js";
import { QuotaUse } from "./quota-use.js";

/** Inputs of a placement round. */
export interface QuotaRound {
  readonly cap: Amounts;
  /** The newest revision of the workspace's record that this entry has received; undefined when none was. */
  readonly record: StoreRecord | undefined;
  /** Monotonic time in milliseconds at which that revision was known to be current. */
  readonly currentAt: number;
  /** Amounts of the tasks that are known to run or may run. */
  readonly running: Amounts;
  /** Amounts of further runs that an earlier owner may have started on targets that have not answered yet. */
  readonly unseen: Amounts;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** A planned write of a workspace's record. */
export interface QuotaPlan {
  /** The pool's entry in the current record; undefined when there is none. */
  readonly before: PoolShare | undefined;
  /** The pool's new entry. */
  readonly share: PoolShare;
  readonly record: QuotaRecord;
}

/** Owners of other pools may use an earlier configuration for this long after a cap was lowered. */
const configurationDelayMilliseconds = 3_000;
/**
 * During that time a copy of the record must be younger than this: an older one may lack shares that others took under
 * the higher cap.
 */
const maximumCopyAgeMilliseconds = 1_000;
/** A pool whose share has been too small for this long without growing does not count on shares of other pools. */
const unservedMilliseconds = 5_000;

/** The state of one workspace's cap in one pool. */
export class HeldQuota {
  readonly copy: QuotaCopy;
  readonly use = new QuotaUse();
  readonly #pool: string;
  #cap: Amounts = noAmounts;
  #loweredAt: number | undefined;
  #usable: Amounts = noAmounts;
  #now = Number.NEGATIVE_INFINITY;
  /** The pool's share in the last round. */
  #lastShare: Amounts = noAmounts;
  /** Since when the share has been too small without growing; undefined while it is sufficient or grows. */
  #unservedSince: number | undefined;

  /**
   * Creates the state before the record has been read.
   * @param pool - name of the owner's pool
   */
  constructor(pool: string) {
    this.#pool = pool;
    this.copy = new QuotaCopy(pool);
  }

  /** The cap of the last round. */
  cap(): Amounts {
    return this.#cap;
  }

  /**
   * Begins a placement round.
   * @param round - the cap, the newest record and the running tasks
   */
  begin({ cap, record, currentAt, running, unseen, now }: QuotaRound): void {
    if (this.#loweredAt === undefined || isLowered(this.#cap, cap)) this.#loweredAt = now;
    this.#cap = cap;
    if (record !== undefined) this.copy.update(record.value, record.revision);
    this.#noteServed(now);
    this.use.begin(addAmounts(running, this.#boundUnseen(running, unseen)), now);
    this.#usable = this.#isTooOld(currentAt, now) ? this.#noneUsable() : this.copy.usable(cap);
  }

  /** Counts the starts that fit into the usable amounts, see {@link QuotaUse.allow}. */
  allow(needs: Amounts, wanted: number): number {
    return this.use.allow(this.#usable, needs, wanted, this.#cap);
  }

  /** The amounts that the pool may have running in this round. */
  usable(): Amounts {
    return this.#usable;
  }

  /**
   * The amounts that the pool could have running if it requested them. Other pools may use theirs for runs that do not
   * end: once a request has not been served for a while, only what no other pool holds counts.
   */
  reachable(): Amounts {
    const view = this.copy.view(this.#cap);
    const unservedSince = this.#unservedSince ?? this.#now;
    return this.#now - unservedSince > unservedMilliseconds ? availableShare(view) : reachableShare(view);
  }

  /**
   * Plans the next write of the record.
   * @param pools - names of the configured pools
   * @param abandoned - names of pools that are no longer configured and whose shares may be dropped
   * @param now - monotonic time in milliseconds
   * @returns the planned write; undefined when the record should stay as it is
   */
  plan(pools: readonly string[], abandoned: readonly string[], now: number): QuotaPlan | undefined {
    if (!this.copy.isReadable()) return this.#planNew();
    const known = this.copy.record();
    const dropped = Object.keys(known.pools).filter((pool) => abandoned.includes(pool));
    const kept = Object.entries(known.pools).filter(([pool]) => !dropped.includes(pool));
    const record = { ...known, pools: Object.fromEntries(kept) };
    const view = { record, pool: this.#pool, cap: this.#cap };
    const share = chooseShare(view, this.use);
    const before = known.pools[this.#pool];
    const completes = isCompletedBy(record, this.#pool, pools);
    const isMissing = record.isIncomplete === true && before === undefined;
    const isShareWorthWriting = isWorthWriting(before, share, this.use.isSatisfied(now));
    if (!isShareWorthWriting && !completes && !isMissing && dropped.length === 0) return undefined;
    const next = withShare(completes ? { pools: record.pools } : record, this.#pool, share);
    return { before, share, record: next };
  }

  /**
   * Replaces an unreadable record. Each pool first reports its running tasks as its share, and no pool takes more until
   * all pools have reported.
   */
  #planNew(): QuotaPlan {
    const before = this.copy.record().pools[this.#pool];
    const share = { share: this.use.running };
    return { before, share, record: { pools: { [this.#pool]: share }, isIncomplete: true } };
  }

  /** Notes whether the share has grown, or was sufficient in the last round. */
  #noteServed(now: number): void {
    const share = this.copy.ownShare();
    const hasGrown = share.some((amount, resource) => amount > (this.#lastShare[resource] ?? 0));
    if (hasGrown || !isSome(this.use.wanted)) this.#unservedSince = undefined;
    else this.#unservedSince ??= now;
    this.#lastShare = share;
    this.#now = now;
  }

  /** Limits the unseen runs of an earlier owner to the recorded share, which covered all of that owner's runs. */
  #boundUnseen(running: Amounts, unseen: Amounts): Amounts {
    if (!this.copy.isReadable() || this.copy.record().isIncomplete === true) return unseen;
    const own = this.copy.ownShare();
    return byResource((resource) =>
      Math.min(unseen[resource], Math.max(0, own[resource] - running[resource])),
    );
  }

  /**
   * A copy of the record from before the cap was lowered, or before this owner first saw it, may lack shares that other
   * pools have taken under a higher cap. While they may still take some, the copy must be recent.
   */
  #isTooOld(currentAt: number, now: number): boolean {
    if (this.#loweredAt === undefined) return true;
    const settledAt = this.#loweredAt + configurationDelayMilliseconds;
    return currentAt < Math.max(this.#loweredAt, Math.min(settledAt, now - maximumCopyAgeMilliseconds));
  }

  /** Zero of each limited resource. */
  #noneUsable(): Amounts {
    return byResource((resource) => (this.#cap[resource] === 0 ? Number.POSITIVE_INFINITY : 0));
  }
}

function isLowered(before: Amounts, cap: Amounts): boolean {
  return cap.some((amount, resource) => {
    const earlier = before[resource] ?? 0;
    return amount > 0 && (earlier === 0 || amount < earlier);
  });
}

/** Whether all pools will have reported their running tasks once this pool has. */
function isCompletedBy(record: QuotaRecord, pool: string, pools: readonly string[]): boolean {
  if (record.isIncomplete !== true) return false;
  return pools.every((each) => each === pool || record.pools[each] !== undefined);
}
