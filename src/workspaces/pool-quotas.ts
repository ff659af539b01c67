/**
 * What a pool may run of each workspace, by shares of the workspaces' caps that the store holds.
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

/** What a pool's quotas work with. */
export interface PoolQuotasOptions extends Omit<QuotaWriterOptions, "onEnded"> {
  readonly cache: QuotaCache;
  /** The workspaces of the newest configuration. */
  readonly table: () => WorkspaceTable | undefined;
  /** The pools of the newest configuration. */
  readonly pools: () => readonly string[];
  /** Tells whether a pool that is not configured any more has no owner, and no run of it can last. */
  readonly isAbandoned: (pool: string) => boolean;
  /** Whether the owner may give orders. */
  readonly isActive: () => boolean;
  /** Asks for a round of placing. */
  readonly wake: () => void;
}

/** A pool's quotas that end with its owner. */
export interface ClosablePoolQuotas extends PoolQuotas {
  close(): void;
}

const refusedLogMilliseconds = 1_000;
/** Shares of so many pools lapse with one write. */
const mostAbandoned = 8;

/**
 * Creates the quotas of a pool. They read and write nothing before a round finds a workspace with a cap.
 * @param options - the pool, the store and the configuration
 * @returns the quotas
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
  #isRead = false;
  #isClosed = false;
  #unsubscribe: (() => void) | undefined;
  #now = 0;
  #settling: NodeJS.Immediate | undefined;
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
      this.#rest();
      return;
    }
    this.#now = now;
    this.#open();
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
    // The round that begins here is over by then.
    this.#settling ??= setImmediate(() => {
      this.#settling = undefined;
      this.#settle();
    });
  }

  countAllowed(workspace: string, needs: Resources, wanted: number): number {
    const found = this.#options.table()?.find(workspace);
    if (found === undefined) return 0;
    if (!hasCap(found)) return wanted;
    const held = this.#held.get(workspace);
    // The shares are not known before they were read since this owner began.
    if (held === undefined || !this.#isRead) return 0;
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
    if (held !== undefined && this.#isRead) return resourcesOf(held.reachable());
    const [cpu, memory, accelerators] = amountsOf(found.cap);
    return resourcesOf([limitOrNone(cpu), limitOrNone(memory), limitOrNone(accelerators)]);
  }

  close(): void {
    this.#isClosed = true;
    this.#rest();
  }

  /** Takes part once there are caps: the shares count as they stand after this owner took the pool. */
  #open(): void {
    if (this.#unsubscribe !== undefined) return;
    const { cache, wake } = this.#options;
    this.#unsubscribe = cache.subscribe(wake);
    void cache
      .refresh(() => this.#unsubscribe !== undefined)
      .then((isRead) => {
        if (!isRead) return;
        this.#isRead = true;
        wake();
      });
  }

  #rest(): void {
    if (this.#unsubscribe === undefined) return;
    this.#unsubscribe();
    this.#unsubscribe = undefined;
    this.#isRead = false;
    this.#held.clear();
    clearImmediate(this.#settling);
    this.#settling = undefined;
    this.#setGauges();
  }

  #findHeld(workspace: string): HeldQuota {
    const known = this.#held.get(workspace) ?? new HeldQuota(this.#options.pool);
    this.#held.set(workspace, known);
    return known;
  }

  /** Writes what the round has shown to be worth it. */
  #settle(): void {
    const { isActive, pools } = this.#options;
    this.#setGauges();
    if (!this.#isRead || !isActive() || !this.#writer.isReady(this.#now)) return;
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
    return others.filter((pool) => this.#options.isAbandoned(pool)).slice(0, mostAbandoned);
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
