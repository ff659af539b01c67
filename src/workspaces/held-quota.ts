/**
 * One workspace's cap as the owner of one pool works with it. Time is handed in.
 * @packageDocumentation
 */
import type { StoreRecord } from "../store/index.js";
import { QuotaCopy } from "./quota-copy.js";
import {
  addAmounts,
  byResource,
  noAmounts,
  type Amounts,
  type PoolShare,
  type QuotaRecord,
} from "./quota-record.js";
import { chooseShare, isWorthWriting, reachableShare, withShare } from "./quota-shares.js";
import { QuotaUse } from "./quota-use.js";

/** What a round begins with. */
export interface QuotaRound {
  readonly cap: Amounts;
  /** The newest revision that the entry has received. */
  readonly record: StoreRecord | undefined;
  /** When that was surely current, by the monotonic clock. */
  readonly currentAt: number;
  /** What is known to run, or may. */
  readonly running: Amounts;
  /** What may run besides, started by an earlier owner on targets that have not answered yet. */
  readonly unseen: Amounts;
  readonly now: number;
}

/** A record that an owner would like to write. */
export interface QuotaPlan {
  readonly before: PoolShare | undefined;
  readonly share: PoolShare;
  readonly record: QuotaRecord;
}

/** Others may work by an earlier configuration for so long. */
const configurationMilliseconds = 3_000;
/** While they may, a copy of the record must be younger than this. */
const youngMilliseconds = 1_000;

/** One workspace's cap in one pool. */
export class HeldQuota {
  readonly copy: QuotaCopy;
  readonly use = new QuotaUse();
  readonly #pool: string;
  #cap: Amounts = noAmounts;
  #loweredAt: number | undefined;
  #usable: Amounts = noAmounts;

  /**
   * Creates the cap before its record was read.
   * @param pool - the owner's pool
   */
  constructor(pool: string) {
    this.#pool = pool;
    this.copy = new QuotaCopy(pool);
  }

  /** The cap in force. */
  cap(): Amounts {
    return this.#cap;
  }

  /**
   * Begins a round of placing.
   * @param round - what is known now
   */
  begin({ cap, record, currentAt, running, unseen, now }: QuotaRound): void {
    if (this.#loweredAt === undefined || isLowered(this.#cap, cap)) this.#loweredAt = now;
    this.#cap = cap;
    if (record !== undefined) this.copy.offer(record.value, record.revision);
    this.use.begin(addAmounts(running, this.#boundUnseen(running, unseen)), now);
    this.#usable = this.#isTooOld(currentAt, now) ? this.#nothing() : this.copy.usable(cap);
  }

  /** Counts the starts that have room, see `QuotaUse.allow`. */
  allow(needs: Amounts, wanted: number): number {
    return this.use.allow(this.#usable, needs, wanted, this.#cap);
  }

  /** What the pool may have running in this round. */
  usable(): Amounts {
    return this.#usable;
  }

  /** What the pool could have running. */
  reachable(): Amounts {
    return reachableShare(this.copy.view(this.#cap));
  }

  /**
   * Decides what the record should say.
   * @param pools - the pools of the configuration
   * @param abandoned - pools outside of it whose shares have lapsed
   * @param now - the monotonic clock
   * @returns the record; undefined when it should stay
   */
  plan(pools: readonly string[], abandoned: readonly string[], now: number): QuotaPlan | undefined {
    if (!this.copy.isReadable()) return this.#planNew();
    const known = this.copy.record();
    const lapsed = Object.keys(known.pools).filter((pool) => abandoned.includes(pool));
    const kept = Object.entries(known.pools).filter(([pool]) => !lapsed.includes(pool));
    const record = { ...known, pools: Object.fromEntries(kept) };
    const view = { record, pool: this.#pool, cap: this.#cap };
    const share = chooseShare(view, this.use);
    const before = known.pools[this.#pool];
    const completes = isCompletedBy(record, this.#pool, pools);
    const isMissing = record.isIncomplete === true && before === undefined;
    const isWorth = isWorthWriting(before, share, this.use.isContent(now));
    if (!isWorth && !completes && !isMissing && lapsed.length === 0) return undefined;
    const next = withShare(completes ? { pools: record.pools } : record, this.#pool, share);
    return { before, share, record: next };
  }

  /** A record that cannot be read begins anew with what runs in each pool; nobody takes more before all have said it. */
  #planNew(): QuotaPlan {
    const before = this.copy.record().pools[this.#pool];
    const share = { share: this.use.running };
    return { before, share, record: { pools: { [this.#pool]: share }, isIncomplete: true } };
  }

  /** What an earlier owner had running was covered by the share, which the record tells. */
  #boundUnseen(running: Amounts, unseen: Amounts): Amounts {
    if (!this.copy.isReadable() || this.copy.record().isIncomplete === true) return unseen;
    const own = this.copy.ownShare();
    return byResource((resource) =>
      Math.min(unseen[resource], Math.max(0, own[resource] - running[resource])),
    );
  }

  /**
   * A copy from before a cap was lowered, or first seen here, may lack what others have taken by a higher one; while they
   * may still do so, it has to be young.
   */
  #isTooOld(currentAt: number, now: number): boolean {
    if (this.#loweredAt === undefined) return true;
    const settledAt = this.#loweredAt + configurationMilliseconds;
    return currentAt < Math.max(this.#loweredAt, Math.min(settledAt, now - youngMilliseconds));
  }

  #nothing(): Amounts {
    return byResource((resource) => (this.#cap[resource] === 0 ? Number.POSITIVE_INFINITY : 0));
  }
}

function isLowered(before: Amounts, cap: Amounts): boolean {
  return cap.some((amount, resource) => {
    const earlier = before[resource] ?? 0;
    return amount > 0 && (earlier === 0 || amount < earlier);
  });
}

/** Whether all pools have said what they have running once this one has. */
function isCompletedBy(record: QuotaRecord, pool: string, pools: readonly string[]): boolean {
  if (record.isIncomplete !== true) return false;
  return pools.every((each) => each === pool || record.pools[each] !== undefined);
}
