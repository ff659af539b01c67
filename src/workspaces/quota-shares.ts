/**
 * Divides a workspace's cap among the pools: what a pool may use now, and what its share should be. Each pool decides
 * alone on its copy of the record; a write is bound to the record's revision, so that the shares that are written never
 * add up to more than the cap, except for what is running already.
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

/** A pool's look at the record of a workspace. */
export interface QuotaView {
  readonly record: QuotaRecord;
  readonly pool: string;
  /** The workspace's cap; 0 of a resource for no limit on it. */
  readonly cap: Amounts;
}

/** What a pool does with its share. */
export interface ShareUse {
  /** What may be running. */
  readonly running: Amounts;
  /** The most that was running lately. */
  readonly peak: Amounts;
  /** What could start beside that if the share allowed it. */
  readonly wanted: Amounts;
  /** What the first start among those needs. */
  readonly least: Amounts;
}

/** A pool that lacks room takes this part of the cap at least, so that it writes seldom. */
const chunkShare = 1 / 16;

/**
 * Computes what a pool may have running.
 *
 * What shares exceed a lowered cap by is missing to every pool: the others may have all of theirs running.
 * @param view - the record as the pool knows it
 * @returns the amounts; infinite where there is no limit
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
 * Computes what a pool could have running if it asked.
 * @param view - the record as the pool knows it
 * @returns its share with what no pool holds, or its part among those that ask; infinite where there is no limit
 */
export function reachableShare(view: QuotaView): Amounts {
  const { record, pool, cap } = view;
  const own = record.pools[pool]?.share ?? noAmounts;
  return byResource((resource) => {
    if (cap[resource] === 0) return Number.POSITIVE_INFINITY;
    const free = Math.max(0, cap[resource] - totalShare(record, resource));
    const usable = Math.min(own[resource] + free, cap[resource]);
    return isRequestedByOthers(view, resource) ? Math.max(usable, fairPart(view, resource)) : usable;
  });
}

/**
 * Chooses the share that a pool should hold, and what it asks for beside it.
 * @param view - the record as the pool knows it
 * @param use - what the pool does with its share
 * @returns the share
 */
export function chooseShare(view: QuotaView, use: ShareUse): PoolShare {
  const { record, pool, cap } = view;
  const before = record.pools[pool];
  const own = before?.share ?? noAmounts;
  const need = byResource((resource) => use.running[resource] + use.wanted[resource]);
  const asking = describeDemands(view, use, own, need);
  // Its own part depends on what it asks for now, not on what the record says of that.
  const asked = { ...view, record: withShare(record, pool, asking) };
  const share = byResource((resource) => {
    if (cap[resource] === 0) return 0;
    return Math.max(use.running[resource], chooseAmount(asked, resource, use, need[resource]));
  });
  return describeDemands(view, use, share, need);
}

/** Chooses a pool's share of one resource. */
function chooseAmount(view: QuotaView, resource: ResourceIndex, use: ShareUse, need: number): number {
  const { record, pool, cap } = view;
  const limit = cap[resource];
  const own = record.pools[pool]?.share[resource] ?? 0;
  const free = limit - totalShare(record, resource);
  if (record.isIncomplete === true) return 0;
  if (free < 0) return own + free;
  if (isRequestedByOthers(view, resource)) return Math.min(need, fairPart(view, resource), own + free);
  const chunk = Math.floor(limit * chunkShare);
  if (need > own) return Math.min(own + free, Math.max(need, own + chunk));
  const kept = Math.max(use.peak[resource], need);
  return kept === 0 || own - kept > chunk ? kept : own;
}

/** A share with what is lacking beside it. */
function describeDemands(view: QuotaView, use: ShareUse, share: Amounts, need: Amounts): PoolShare {
  const { record, pool, cap } = view;
  const demands = byResource((resource) =>
    cap[resource] === 0 ? 0 : Math.max(0, need[resource] - share[resource]),
  );
  const described = isSome(demands) ? { share, asks: demands } : { share };
  // A pool whose turn has come keeps it until something runs.
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
 * Replaces the share of a pool in a record.
 * @param record - the record
 * @param pool - the pool
 * @param share - its new share
 * @returns a record without pools that hold nothing and ask for nothing, unless it has to name all pools
 */
export function withShare(record: QuotaRecord, pool: string, share: PoolShare): QuotaRecord {
  const pools = Object.entries({ ...record.pools, [pool]: share });
  const kept = pools.filter(
    ([, each]) => record.isIncomplete === true || isSome(each.share) || isSome(each.asks),
  );
  return { ...record, pools: Object.fromEntries(kept) };
}

/**
 * Tells whether a share is worth a write.
 * @param before - the share in the record
 * @param next - the share as chosen now
 * @param asksSettled - whether the pool has not lacked room for a while, so that what it asks for may be taken back
 * @returns false for what differs only a little in what is asked for
 */
export function isWorthWriting(
  before: PoolShare | undefined,
  next: PoolShare,
  asksSettled: boolean,
): boolean {
  const own = before?.share ?? noAmounts;
  if (next.share.some((amount, resource) => amount !== own[resource])) return true;
  const [asksBefore, demands] = [before?.asks ?? noAmounts, next.asks ?? noAmounts];
  if (isSome(before?.least) !== isSome(next.least)) return true;
  if (!isSome(demands)) return asksSettled && isSome(asksBefore);
  return demands.some((amount, resource) => differsMuch(asksBefore[resource] ?? 0, amount));
}

/** By this factor what is asked for has to grow or shrink. */
const muchFactor = 2;

function differsMuch(before: number, next: number): boolean {
  return (before === 0) !== (next === 0) || next > muchFactor * before || before > muchFactor * next;
}

/** What all pools hold of a resource. */
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
 * A pool's part of a resource that pools compete for. Pools of which nothing runs get what their next start needs, in
 * their order, so that a start that is larger than an equal part is not put off for ever. The rest is divided equally,
 * but none gets more than it holds and asks for.
 */
function fairPart({ record, pool, cap }: QuotaView, resource: ResourceIndex): number {
  let left = cap[resource];
  const parts = new Map<string, number>();
  const pools = Object.entries(record.pools);
  const starving = pools.filter(([, { least }]) => least !== undefined && fitsCap(least, cap));
  starving.sort(([, first], [, second]) => (first.turn ?? 0) - (second.turn ?? 0));
  for (const [name, { least }] of starving) {
    const part = Math.min(left, least?.[resource] ?? 0);
    parts.set(name, part);
    left -= part;
  }
  const open = pools.map(([name, { share, asks: demands }]) => {
    const demand = share[resource] + (demands?.[resource] ?? 0);
    return { name, demand: Math.max(0, demand - (parts.get(name) ?? 0)) };
  });
  open.sort((first, second) => first.demand - second.demand);
  for (const [index, { name, demand }] of open.entries()) {
    const part = Math.min(demand, Math.floor(left / (open.length - index)));
    if (name === pool) return (parts.get(name) ?? 0) + part;
    left -= part;
  }
  return 0;
}

/**
 * Tells whether something could ever run under a cap.
 * @param needs - what it takes
 * @param cap - the cap
 * @returns false when it takes more than the cap
 */
export function fitsCap(needs: Amounts, cap: Amounts): boolean {
  return needs.every((amount, resource) => cap[resource] === 0 || amount <= (cap[resource] ?? 0));
}
