/**
 * Quotas and fair shares of workspaces for the owners of an entry.
 * @packageDocumentation
 */
import type { TransactionalStore } from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import {
  createFairShares,
  createPoolQuotas,
  createQuotaCache,
  type ClosablePoolQuotas,
  type OwnerWorkspaces,
  type QuotaCache,
  type WorkspaceTable,
} from "../workspaces/index.js";
import { isCurrent, type OwnerDirectory } from "./owner-directory.js";
import type { StoredOwnerJournal } from "./owner-journal.js";
import { ownerPrefix } from "./owner-record.js";

/** Dependencies and settings of the quotas and shares. */
export interface WorkspacesOptions {
  /** The workspaces of the newest configuration; returns undefined when it has none. */
  readonly workspaces?: (() => WorkspaceTable | undefined) | undefined;
  readonly store: TransactionalStore;
  readonly directory: OwnerDirectory;
  readonly pools: () => readonly string[];
  readonly log: Log;
  readonly metrics: Metrics;
}

/** An owner that quotas and shares are created for. */
export interface RegisteredOwner {
  readonly pool: string;
  readonly journal: Pick<StoredOwnerJournal, "expectHeld">;
  readonly isActive: () => boolean;
  readonly wake: () => void;
  /** Cores of the pool that are available for short tasks. */
  readonly cores: () => number;
}

/** Quotas and shares of an owner, to be closed with the owner. */
export interface ClosableWorkspaces extends OwnerWorkspaces {
  readonly quotas: ClosablePoolQuotas;
}

/** Every run has ended this long after its owner stopped renewing the lease, so that a pool's quota can be released. */
const abandonedAfterMilliseconds = 15_000;
/** A pool that was not checked for longer than this may have had an owner meanwhile; its time without one starts again. */
const observationGapMilliseconds = 5_000;

/** Creates the quotas and shares of owners; the owners of an entry share one cache of the quota records. */
export class WorkspacesOfOwners {
  readonly #options: WorkspacesOptions;
  readonly #quotaCache: QuotaCache;
  /** For each pool without an owner: since when it has had none, and when this was last checked, by the monotonic clock. */
  readonly #ownerlessPools = new Map<string, { readonly since: number; readonly checkedAt: number }>();

  /**
   * Creates the shared cache without reading the store.
   * @param options - the store and the configuration
   */
  constructor(options: WorkspacesOptions) {
    this.#options = options;
    this.#quotaCache = createQuotaCache(options.store);
  }

  /**
   * Creates the quotas and shares of an owner.
   * @param owner - the owner
   * @returns the quotas and shares; undefined where workspaces are not distinguished
   */
  create({ pool, journal, isActive, wake, cores }: RegisteredOwner): ClosableWorkspaces | undefined {
    const { workspaces: table, store, pools, log, metrics } = this.#options;
    if (table === undefined) return undefined;
    const quotas = createPoolQuotas({
      pool,
      store,
      cache: this.#quotaCache,
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
    const last = this.#ownerlessPools.get(pool);
    // A pool that was not checked for a while may have been configured and owned meanwhile.
    const isContinuous = last !== undefined && now - last.checkedAt < observationGapMilliseconds;
    const since = isContinuous ? last.since : now;
    this.#ownerlessPools.set(pool, { since, checkedAt: now });
    return now - since > abandonedAfterMilliseconds;
  }
}
