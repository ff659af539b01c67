/**
 * What the homes of an entry work with where workspaces are configured.
 * @packageDocumentation
 */
import type { TransactionalStore } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import {
  createFairShares,
  createPoolQuotas,
  createQuotaBook,
  type ClosablePoolQuotas,
  type HomeWorkspaces,
  type QuotaBook,
  type WorkspaceTable,
} from "../workspaces/index.js";
import { isCurrent, type HomeDirectory } from "./home-directory.js";
import type { StoredHomeJournal } from "./home-journal.js";
import { homePrefix } from "./home-record.js";

/** What the homes' work with workspaces is created from. */
export interface WorkspacesOptions {
  /** The workspaces of the newest configuration; undefined when it holds none. */
  readonly workspaces?: (() => WorkspaceTable | undefined) | undefined;
  readonly store: TransactionalStore;
  readonly directory: HomeDirectory;
  readonly pools: () => readonly string[];
  readonly log: Log;
  readonly metrics: Metrics;
}

/** The home that works with them. */
export interface WorkspacesOwner {
  readonly pool: string;
  readonly journal: Pick<StoredHomeJournal, "expectHeld">;
  readonly isActive: () => boolean;
  readonly wake: () => void;
  /** Cores of the pool that serve short tasks. */
  readonly cores: () => number;
}

/** What a home works with, until it closes. */
export interface ClosableWorkspaces extends HomeWorkspaces {
  readonly quotas: ClosablePoolQuotas;
}

/** No run on targets lasts so long without a home that renews its lease. */
const lapseMilliseconds = 15_000;
const unseenMilliseconds = 5_000;

/** Creates what homes work with; the homes of an entry share one copy of the records. */
export class WorkspacesOfHomes {
  readonly #options: WorkspacesOptions;
  readonly #book: QuotaBook;
  /** Since when pools outside of the configuration have had no home, and when that was seen last, by the monotonic clock. */
  readonly #vacant = new Map<string, { readonly since: number; readonly seenAt: number }>();

  /**
   * Creates none yet, and reads nothing.
   * @param options - the store and the configuration
   */
  constructor(options: WorkspacesOptions) {
    this.#options = options;
    this.#book = createQuotaBook(options.store);
  }

  /**
   * Creates what a home works with.
   * @param owner - the home
   * @returns its quotas and shares; undefined where nobody tells workspaces apart
   */
  create({ pool, journal, isActive, wake, cores }: WorkspacesOwner): ClosableWorkspaces | undefined {
    const { workspaces: table, store, pools, log, metrics } = this.#options;
    if (table === undefined) return undefined;
    const quotas = createPoolQuotas({
      pool,
      store,
      book: this.#book,
      table,
      pools,
      isAbandoned: (other) => this.#isAbandoned(other),
      expectHeld: () => journal.expectHeld(),
      expectNoHome: (other) => ({ key: `${homePrefix}${other}`, revision: 0 }),
      isActive,
      wake,
      log,
      metrics,
    });
    const shares = createFairShares({ weight: (name) => table()?.find(name)?.weight, cores });
    return { table, quotas, shares };
  }

  #isAbandoned(pool: string): boolean {
    const { directory } = this.#options;
    const now = performance.now();
    if (directory.homes().has(pool) || !isCurrent(directory)) {
      this.#vacant.delete(pool);
      return false;
    }
    const known = this.#vacant.get(pool);
    // A pool that was not asked about meanwhile may have been configured, and have had a home.
    const isSeen = known !== undefined && now - known.seenAt < unseenMilliseconds;
    const since = isSeen ? known.since : now;
    this.#vacant.set(pool, { since, seenAt: now });
    return now - since > lapseMilliseconds;
  }
}
