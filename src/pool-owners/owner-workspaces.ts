/**
 * What the owners of an entry work with where workspaces are configured.
 * @packageDocumentation
 */
import type { TransactionalStore } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import {
  createFairShares,
  createPoolQuotas,
  createQuotaBook,
  type ClosablePoolQuotas,
  type OwnerWorkspaces,
  type QuotaBook,
  type WorkspaceTable,
} from "../workspaces/index.js";
import { isCurrent, type OwnerDirectory } from "./owner-directory.js";
import type { StoredOwnerJournal } from "./owner-journal.js";
import { ownerPrefix } from "./owner-record.js";

/** What the owners' work with workspaces is created from. */
export interface WorkspacesOptions {
  /** The workspaces of the newest configuration; undefined when it holds none. */
  readonly workspaces?: (() => WorkspaceTable | undefined) | undefined;
  readonly store: TransactionalStore;
  readonly directory: OwnerDirectory;
  readonly pools: () => readonly string[];
  readonly log: Log;
  readonly metrics: Metrics;
}

/** The owner that works with them. */
export interface RegisteredOwner {
  readonly pool: string;
  readonly journal: Pick<StoredOwnerJournal, "expectHeld">;
  readonly isActive: () => boolean;
  readonly wake: () => void;
  /** Cores of the pool that serve short tasks. */
  readonly cores: () => number;
}

/** What an owner works with, until it closes. */
export interface ClosableWorkspaces extends OwnerWorkspaces {
  readonly quotas: ClosablePoolQuotas;
}

/** No run on targets lasts so long without an owner that renews its lease. */
const abandonedAfterMilliseconds = 15_000;
const observationGapMilliseconds = 5_000;

/** Creates what owners work with; the owners of an entry share one copy of the records. */
export class WorkspacesOfOwners {
  readonly #options: WorkspacesOptions;
  readonly #quotaCache: QuotaBook;
  /** Since when pools outside of the configuration have had no owner, and when that was seen last, by the monotonic clock. */
  readonly #ownerlessPools = new Map<string, { readonly since: number; readonly seenAt: number }>();

  /**
   * Creates none yet, and reads nothing.
   * @param options - the store and the configuration
   */
  constructor(options: WorkspacesOptions) {
    this.#options = options;
    this.#quotaCache = createQuotaBook(options.store);
  }

  /**
   * Creates what an owner works with.
   * @param owner - the owner
   * @returns its quotas and shares; undefined where nobody tells workspaces apart
   */
  create({ pool, journal, isActive, wake, cores }: RegisteredOwner): ClosableWorkspaces | undefined {
    const { workspaces: table, store, pools, log, metrics } = this.#options;
    if (table === undefined) return undefined;
    const quotas = createPoolQuotas({
      pool,
      store,
      book: this.#quotaCache,
      table,
      pools,
      isAbandoned: (other) => this.#isAbandoned(other),
      expectHeld: () => journal.expectHeld(),
      expectNoOwner: (other) => ({ key: `${ownerPrefix}${other}`, revision: 0 }),
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
    if (directory.owners().has(pool) || !isCurrent(directory)) {
      this.#ownerlessPools.delete(pool);
      return false;
    }
    const known = this.#ownerlessPools.get(pool);
    // A pool that was not asked about meanwhile may have been configured, and have had an owner.
    const isSeen = known !== undefined && now - known.seenAt < observationGapMilliseconds;
    const since = isSeen ? known.since : now;
    this.#ownerlessPools.set(pool, { since, seenAt: now });
    return now - since > abandonedAfterMilliseconds;
  }
}
