/**
 * Divides a workspace's cap among the pools: computes what a pool may use now and what its share should be. Each pool
 * decides alone on its copy of the record. Writes are conditional on the record's revision, so the stored shares
 * never add up to more than the cap, except for tasks that are already running.
 * @packageDocumentation
 */
import {
  byResource,
  isSome,
  noAmounts,
  type Amounts,
  type PoolShare,
  type QuotaRecord,
  type ResourceIndex,
} from "./quota-record.js";

/** A pool's view of a workspace's record. */
export interface QuotaView {
  readonly record: QuotaRecord;
  readonly pool: string;
  /** The workspace's cap; 0 means no limit on that resource. */
  readonly cap: Amounts;
}

/** A pool's use of its share. */
export interface ShareUse {
  /** Amounts of the tasks that may be running. */
  readonly running: Amounts;
  /** The recent maximum of `running`, by resource. */
  readonly peak: Amounts;
  /** Amounts of further tasks that could start if the share allowed it. */
  readonly wanted: Amounts;
  /** Amounts of the first task among those. */
  readonly least: Amounts;
}

/** A pool whose share is too small takes at least this fraction of the cap, which keeps writes rare. */
const chunkFraction = 1 / 16;

/**
 * Computes the amounts that a pool may have running.
 *
 * Where the shares exceed a lowered cap, each pool subtracts the whole excess from its share, since the other pools
 * may be using all of theirs.
 * @param view - the pool's copy of the record
 * @returns the amounts; infinite for a resource without a limit
 */
export function usableShare(view: QuotaView): Amounts {
  const { record, pool, cap } = view;
  const own = record.pools[pool]?.share ?? noAmounts;
  return byResource((resource) => {
    if (cap[resource] === 0) return Number.POSITIVE_INFINITY;
    const excess = Math.max(0, totalShare(record, resource) - cap[resource]);
    const usable = Math.max(0, own[resource] - excess);
    return isRequestedByOthers(view, resource) ? Math.min(usable, fairPart(view, resource)) : usable;
  });
}

/**
 * Computes the amounts that a pool can take without waiting for another pool.
 * @param view - the pool's copy of the record
 * @returns the pool's share plus what no pool holds; infinite for a resource without a limit
 */
export function availableShare({ record, pool, cap }: QuotaView): Amounts {
  const own = record.pools[pool]?.share ?? noAmounts;
  return byResource((resource) => {
    if (cap[resource] === 0) return Number.POSITIVE_INFINITY;
    const free = Math.max(0, cap[resource] - totalShare(record, resource));
    return Math.min(own[resource] + free, cap[resource]);
  });
}

/**
 * Computes the amounts that a pool could have running if it requested them.
 * @param view - the pool's copy of the record
 * @returns the available share, or the fair part that the pool would get by requesting the whole cap if that is larger;
 * infinite for a resource without a limit
 */
export function reachableShare(view: QuotaView): Amounts {
  const available = availableShare(view);
  const requesting = requestWholeCap(view);
  return byResource((resource) => Math.max(available[resource], fairPart(requesting, resource)));
}

/** The view after this pool has requested the rest of the cap. Owners of other pools then give up what is above their part. */
function requestWholeCap({ record, pool, cap }: QuotaView): QuotaView {
  const own = record.pools[pool]?.share ?? noAmounts;
  const asks = byResource((resource) => Math.max(0, cap[resource] - own[resource]));
  const entry = { ...record.pools[pool], share: own, asks };
  return { record: withShare(record, pool, entry), pool, cap };
}

/**
 * Chooses the share that a pool should hold and the amounts that it should request beyond that.
 * @param view - the pool's copy of the record
 * @param use - the pool's current use of its share
 * @returns the pool's entry for the record
 */
export function chooseShare(view: QuotaView, use: ShareUse): PoolShare {
  const { record, pool, cap } = view;
  const before = record.pools[pool];
  const own = before?.share ?? noAmounts;
  const need = byResource((resource) => use.running[resource] + use.wanted[resource]);
  const requesting = describeDemands(view, use, own, need);
  // The pool's fair part depends on its current demands rather than on those in the record.
  const asked = { ...view, record: withShare(record, pool, requesting) };
  const share = byResource((resource) => {
    if (cap[resource] === 0) return 0;
    return Math.max(use.running[resource], chooseAmount(asked, resource, use, need[resource]));
  });
  return describeDemands(view, use, share, need);
}

/** Chooses a pool's share of one resource, before the lower bound for running tasks is applied. */
function chooseAmount(view: QuotaView, resource: ResourceIndex, use: ShareUse, need: number): number {
  const { record, pool, cap } = view;
  const limit = cap[resource];
  const own = record.pools[pool]?.share[resource] ?? 0;
  const free = limit - totalShare(record, resource);
  if (record.isIncomplete === true) return 0;
  if (free < 0) return own + free;
  if (isRequestedByOthers(view, resource)) return Math.min(need, fairPart(view, resource), own + free);
  const chunk = Math.floor(limit * chunkFraction);
  if (need > own) return Math.min(own + free, Math.max(need, own + chunk));
  const kept = Math.max(use.peak[resource], need);
  return kept === 0 || own - kept > chunk ? kept : own;
}

/** Builds a pool's entry for the record: its share and the unmet demands. */
function describeDemands(view: QuotaView, use: ShareUse, share: Amounts, need: Amounts): PoolShare {
  const { record, pool, cap } = view;
  const demands = byResource((resource) =>
    cap[resource] === 0 ? 0 : Math.max(0, need[resource] - share[resource]),
  );
  const described = isSome(demands) ? { share, asks: demands } : { share };
  // A pool keeps its queue position until one of its tasks runs.
  const isWaiting = isSome(demands) || (isSome(use.wanted) && isContended(record, pool));
  if (isSome(use.running) || !isWaiting) return described;
  const turns = Object.values(record.pools).map(({ turn }) => turn ?? 0);
  const turn = record.pools[pool]?.turn ?? Math.max(0, ...turns) + 1;
  return { ...described, least: use.least, turn };
}

function isContended({ pools }: QuotaRecord, pool: string): boolean {
  return Object.entries(pools).some(([other, { asks: demands }]) => other !== pool && isSome(demands));
}

/**
 * Replaces a pool's entry in a record.
 * @param record - the record, which is not changed
 * @param pool - the pool's name
 * @param share - the pool's new entry
 * @returns a record without pools that hold and request nothing; an incomplete record keeps them, since it lists the pools
 * that have reported
 */
export function withShare(record: QuotaRecord, pool: string, share: PoolShare): QuotaRecord {
  const pools = Object.entries({ ...record.pools, [pool]: share });
  const kept = pools.filter(
    ([, each]) => record.isIncomplete === true || isSome(each.share) || isSome(each.asks),
  );
  return { ...record, pools: Object.fromEntries(kept) };
}

/**
 * Decides whether a changed share justifies a write.
 * @param before - the pool's entry in the record; undefined when there is none
 * @param next - the entry that was chosen now
 * @param demandsSettled - whether the share has been sufficient for a while, so that stored demands may be withdrawn
 * @returns false when only the demands differ, by less than {@link changeFactor}
 */
export function isWorthWriting(
  before: PoolShare | undefined,
  next: PoolShare,
  demandsSettled: boolean,
): boolean {
  const own = before?.share ?? noAmounts;
  if (next.share.some((amount, resource) => amount !== own[resource])) return true;
  const [demandsBefore, demands] = [before?.asks ?? noAmounts, next.asks ?? noAmounts];
  if (isSome(before?.least) !== isSome(next.least)) return true;
  if (!isSome(demands)) return demandsSettled && isSome(demandsBefore);
  return demands.some((amount, resource) => differsSignificantly(demandsBefore[resource] ?? 0, amount));
}

/** A demand that changes by less than this factor is not written; otherwise each small change would cost a write. */
const changeFactor = 2;

function differsSignificantly(before: number, next: number): boolean {
  return (before === 0) !== (next === 0) || next > changeFactor * before || before > changeFactor * next;
}

/** Sums the shares of all pools for a resource. */
function totalShare({ pools }: QuotaRecord, resource: ResourceIndex): number {
  let total = 0;
  for (const { share } of Object.values(pools)) total += share[resource];
  return total;
}

function isRequestedByOthers({ record, pool }: QuotaView, resource: ResourceIndex): boolean {
  return Object.entries(record.pools).some(
    ([other, { asks: demands }]) => other !== pool && (demands?.[resource] ?? 0) > 0,
  );
}

/**
 * Computes a pool's fair part of a contended resource. Pools without running tasks get the amounts of their next start
 * first, in queue order, so that a start that is larger than an equal part is not postponed forever. The rest is
 * divided equally, but no pool gets more than it holds and requests.
 */
function fairPart({ record, pool, cap }: QuotaView, resource: ResourceIndex): number {
  let left = cap[resource];
  const parts = new Map<string, number>();
  const pools = Object.entries(record.pools);
  const waiting = pools.filter(([, { least }]) => least !== undefined && fitsCap(least, cap));
  waiting.sort(([, first], [, second]) => (first.turn ?? 0) - (second.turn ?? 0));
  for (const [name, { least }] of waiting) {
    const part = Math.min(left, least?.[resource] ?? 0);
    parts.set(name, part);
    left -= part;
  }
  const remainingDemands = pools.map(([name, { share, asks: demands }]) => {
    const demand = share[resource] + (demands?.[resource] ?? 0);
    return { name, demand: Math.max(0, demand - (parts.get(name) ?? 0)) };
  });
  remainingDemands.sort((first, second) => first.demand - second.demand);
  for (const [index, { name, demand }] of remainingDemands.entries()) {
    const part = Math.min(demand, Math.floor(left / (remainingDemands.length - index)));
    if (name === pool) return (parts.get(name) ?? 0) + part;
    left -= part;
  }
  return 0;
}

/**
 * Whether a task could ever run under a cap.
 * @param needs - the amounts of the task
 * @param cap - the cap; 0 means no limit on that resource
 * @returns false when the task needs more than the cap of any resource
 */
export function fitsCap(needs: Amounts, cap: Amounts): boolean {
  return needs.every((amount, resource) => cap[resource] === 0 || amount <= (cap[resource] ?? 0));
}
