/**
 * Applies the workspaces' caps in one pool, by the shares that the store holds for the pools.
 * @packageDocumentation
 */
import type { Resources } from "../jobs/index.js";
import type { StoreRecord } from "../store/index.js";
import { HeldQuota } from "./held-quota.js";
import type { PoolQuotas } from "./owner-workspaces.js";
import type { QuotaCache } from "./quota-cache.js";
import { amountsOf, isSome, noAmounts, resourcesOf, type Amounts } from "./quota-record.js";
import { QuotaWriter, type QuotaWriterOptions } from "./quota-writer.js";
import type { Workspace, WorkspaceTable } from "./workspace.js";

/** Dependencies of a pool's quotas. */
export interface PoolQuotasOptions extends Omit<QuotaWriterOptions, "onEnded"> {
  readonly cache: QuotaCache;
  /** Returns the workspaces of the newest configuration; undefined when none are configured. */
  readonly table: () => WorkspaceTable | undefined;
  /** Returns the names of the pools in the newest configuration. */
  readonly pools: () => readonly string[];
  /** Whether a pool that is no longer configured has no owner, and none of its runs can still exist. */
  readonly isAbandoned: (pool: string) => boolean;
  /** Whether the owner may send orders to targets. */
  readonly isActive: () => boolean;
  /** Requests a placement round. */
  readonly wake: () => void;
}

/** A pool's quotas, closed together with the pool's owner. */
export interface ClosablePoolQuotas extends PoolQuotas {
  close(): void;
}

/** Shortest interval between two log lines about refused starts of a workspace. */
const refusedLogMilliseconds = 1_000;
/** One write drops the shares of at most this many abandoned pools, since each takes an entry of the transaction. */
const maximumAbandonedPools = 8;

/**
 * Creates the quotas of a pool. They don't access the store until a round finds a workspace with a cap.
 * @param options - the pool, the store and the configuration
 * @returns quotas that allow no starts of capped workspaces until their records have been read
 */
export function createPoolQuotas(options: PoolQuotasOptions): ClosablePoolQuotas {
  return new StoredPoolQuotas(options);
}

class StoredPoolQuotas implements ClosablePoolQuotas {
  readonly #options: PoolQuotasOptions;
  readonly #writer: QuotaWriter;
  readonly #held = new Map<string, HeldQuota>();
  readonly #refusedAt = new Map<string, number>();
  readonly #unreadable = new Map<string, number>();
  #hasRead = false;
  #isClosed = false;
  #unsubscribe: (() => void) | undefined;
  #now = 0;
  #pendingWrite: NodeJS.Immediate | undefined;
  #refused = new Set<string>();

  constructor(options: PoolQuotasOptions) {
    this.#options = options;
    this.#writer = new QuotaWriter({ ...options, onEnded: options.wake });
  }

  beginRound(
    usage: ReadonlyMap<string, Resources>,
    now: number,
    unseen: ReadonlyMap<string, Resources> = new Map(),
  ): void {
    const capped = (this.#options.table()?.workspaces ?? []).filter(hasCap);
    if (this.#isClosed || capped.length === 0) {
      this.#stop();
      return;
    }
    this.#now = now;
    this.#start();
    this.#refused = new Set();
    const names = new Set(capped.map(({ name }) => name));
    for (const name of this.#held.keys()) if (!names.has(name)) this.#held.delete(name);
    const currentAt = this.#options.cache.currentAt();
    for (const { name, cap } of capped) {
      const record = this.#options.cache.find(name);
      const running = readAmounts(usage, name);
      const round = {
        cap: amountsOf(cap),
        record,
        currentAt,
        running,
        unseen: readAmounts(unseen, name),
        now,
      };
      this.#findHeld(name).begin(round);
      this.#logUnreadable(name, record);
    }
    // Runs after the placement round that begins here.
    this.#pendingWrite ??= setImmediate(() => {
      this.#pendingWrite = undefined;
      this.#writeShares();
    });
  }

  countAllowed(workspace: string, needs: Resources, wanted: number): number {
    const found = this.#options.table()?.find(workspace);
    if (found === undefined) return 0;
    if (!hasCap(found)) return wanted;
    const held = this.#held.get(workspace);
    // Before the records have been read by this owner, the pool's share is unknown.
    if (held === undefined || !this.#hasRead) return 0;
    const allowed = held.allow(amountsOf(needs), wanted);
    if (allowed < wanted) this.#noteRefused(workspace, held, wanted, allowed);
    return allowed;
  }

  take(workspace: string, needs: Resources, count: number): void {
    this.#held.get(workspace)?.use.take(amountsOf(needs), count);
  }

  room(workspace: string): Resources | undefined {
    const found = this.#options.table()?.find(workspace);
    if (found === undefined || !hasCap(found)) return undefined;
    const held = this.#held.get(workspace);
    if (held !== undefined && this.#hasRead) return resourcesOf(held.reachable());
    const [cpu, memory, accelerators] = amountsOf(found.cap);
    return resourcesOf([limitOrNone(cpu), limitOrNone(memory), limitOrNone(accelerators)]);
  }

  close(): void {
    this.#isClosed = true;
    this.#stop();
  }

  /** Starts to follow the records. Shares are used only after they have been read since this owner took the pool. */
  #start(): void {
    if (this.#unsubscribe !== undefined) return;
    const { cache, wake } = this.#options;
    this.#unsubscribe = cache.subscribe(wake);
    void cache
      .refresh(() => this.#unsubscribe !== undefined)
      .then((isRead) => {
        if (!isRead) return;
        this.#hasRead = true;
        wake();
      });
  }

  #stop(): void {
    if (this.#unsubscribe === undefined) return;
    this.#unsubscribe();
    this.#unsubscribe = undefined;
    this.#hasRead = false;
    this.#held.clear();
    clearImmediate(this.#pendingWrite);
    this.#pendingWrite = undefined;
    this.#setGauges();
  }

  #findHeld(workspace: string): HeldQuota {
    const held = this.#held.get(workspace) ?? new HeldQuota(this.#options.pool);
    this.#held.set(workspace, held);
    return held;
  }

  /** Writes the changes of shares and demands that the last round justifies. */
  #writeShares(): void {
    const { isActive, pools } = this.#options;
    this.#setGauges();
    if (!this.#hasRead || !isActive() || !this.#writer.isReady(this.#now)) return;
    const configured = pools();
    const abandoned = this.#findAbandoned(configured);
    const changes = [...this.#held].flatMap(([workspace, held]) => {
      const plan = held.plan(configured, abandoned, this.#now);
      return plan === undefined ? [] : [{ workspace, held, plan }];
    });
    if (changes.length > 0) void this.#writer.write(changes, abandoned, this.#now);
  }

  #findAbandoned(configured: readonly string[]): string[] {
    const known = new Set([...this.#held.values()].flatMap(({ copy }) => Object.keys(copy.record().pools)));
    const others = [...known].filter((pool) => !configured.includes(pool));
    return others.filter((pool) => this.#options.isAbandoned(pool)).slice(0, maximumAbandonedPools);
  }

  #noteRefused(workspace: string, held: HeldQuota, wanted: number, allowed: number): void {
    this.#refused.add(workspace);
    const now = this.#now;
    if (now - (this.#refusedAt.get(workspace) ?? -Infinity) < refusedLogMilliseconds) return;
    this.#refusedAt.set(workspace, now);
    const { log, pool, cache } = this.#options;
    log.write("info", "quota-refused", {
      workspace,
      pool,
      wanted,
      allowed,
      running: held.use.running.join(),
      usable: held.usable().join(),
      cap: held.cap().join(),
      revision: held.copy.revision(),
      recordAge: Math.round(now - cache.currentAt()),
    });
  }

  #logUnreadable(workspace: string, record: StoreRecord | undefined): void {
    const held = this.#held.get(workspace);
    if (record === undefined || held === undefined || held.copy.isReadable()) return;
    if (this.#unreadable.get(workspace) === record.revision) return;
    this.#unreadable.set(workspace, record.revision);
    const { log, pool } = this.#options;
    log.write("error", "quota-unreadable", { workspace, pool, revision: record.revision });
  }

  #setGauges(): void {
    const { metrics, pool } = this.#options;
    let millicores = 0;
    for (const { copy } of this.#held.values()) millicores += copy.ownShare()[0];
    metrics.set("quota_share_millicores", millicores, { pool });
    metrics.set("workspaces_at_limit", this.#held.size === 0 ? 0 : this.#refused.size, { pool });
  }
}

function hasCap({ cap }: Workspace): boolean {
  return isSome(amountsOf(cap));
}

function limitOrNone(amount: number): number {
  return amount === 0 ? Number.POSITIVE_INFINITY : amount;
}

function readAmounts(usage: ReadonlyMap<string, Resources>, workspace: string): Amounts {
  const found = usage.get(workspace);
  return found === undefined ? noAmounts : amountsOf(found);
}
