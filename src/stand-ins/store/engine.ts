/**
 * State of the key-value stand-in: keys with revisions, leases, watches and call counts.
 * @packageDocumentation
 */

/** A stored key. Keys and values are stored unchanged. */
export interface EngineRecord {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly leaseId: string | undefined;
}

/** A change as a watch reports it; a deleted key has no value. */
export interface EngineChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** A conditional write of one key. */
export interface EngineWrite {
  readonly key: string;
  /** The new value; undefined deletes the key. */
  readonly value: string | undefined;
  readonly expectedRevision: number;
  readonly leaseId: string | undefined;
}

/** Calls so far; a waiting watch counts as one. */
export interface CallCounts {
  reads: number;
  writes: number;
  leases: number;
  watches: number;
}

/** Stores keys and manages leases and watches. */
export interface StoreEngine {
  readonly counts: CallCounts;
  /** The revision of the newest change. */
  revision(): number;
  /**
   * Reads keys in a range.
   * @param start - first key
   * @param end - first key behind the range; undefined reads just `start`
   * @returns the records by key
   */
  range(start: string, end?: string): EngineRecord[];
  /**
   * Writes a key if its revision is the expected one.
   * @param write - the write
   * @returns whether it was written
   */
  write(write: EngineWrite): boolean;
  /**
   * Writes several keys atomically if all expected revisions match and all leases are active.
   * @param expected - revisions by key
   * @param writes - the writes
   * @returns whether they were written
   */
  writeAll(
    expected: readonly { readonly key: string; readonly revision: number }[],
    writes: readonly Omit<EngineWrite, "expectedRevision">[],
  ): boolean;
  /** Reads the changes in a range after a revision. */
  changes(start: string, end: string, afterRevision: number): EngineChange[];
  /** Grants a lease that ends unless renewed. */
  grantLease(ttlMilliseconds: number): string;
  /** Renews a lease; returns its duration in milliseconds, or 0 if it has ended. */
  renewLease(leaseId: string): number;
  /** Ends a lease and deletes its keys; returns false if it had ended before. */
  revokeLease(leaseId: string): boolean;
  /**
   * Reports changes in a range, the earlier ones at once.
   * @returns ends the watch
   */
  watch(start: string, end: string, fromRevision: number, report: (change: EngineChange) => void): () => void;
  /** Cancels the timers of all leases. */
  close(): void;
}

interface Lease {
  readonly ttlMilliseconds: number;
  timer: NodeJS.Timeout;
}

interface Watcher {
  readonly start: string;
  readonly end: string;
  readonly report: (change: EngineChange) => void;
}

const historyLimit = 100_000;

/**
 * Creates an empty store.
 * @returns the engine
 */
export function createStoreEngine(): StoreEngine {
  const records = new Map<string, EngineRecord>();
  const changes = createChangeLog();
  const counts: CallCounts = { reads: 0, writes: 0, leases: 0, watches: 0 };
  let revision = 1;

  const applyAt = (key: string, value: string | undefined, leaseId: string | undefined): void => {
    if (value === undefined) records.delete(key);
    else records.set(key, { key, value, revision, leaseId });
    changes.publish({ key, value, revision });
  };
  const apply = (key: string, value: string | undefined, leaseId: string | undefined): void => {
    revision += 1;
    applyAt(key, value, leaseId);
  };

  const leases = createLeases((leaseId) => {
    const owned = [...records.values()].filter((record) => record.leaseId === leaseId);
    for (const record of owned) apply(record.key, undefined, undefined);
  });

  const range = (start: string, end?: string): EngineRecord[] => {
    counts.reads += 1;
    const isWanted = (key: string): boolean =>
      end === undefined ? key === start : isInRange(key, start, end);
    return [...records.values()]
      .filter(({ key }) => isWanted(key))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  };

  const write = ({ key, value, expectedRevision, leaseId }: EngineWrite): boolean => {
    counts.writes += 1;
    if ((records.get(key)?.revision ?? 0) !== expectedRevision) return false;
    if (leaseId !== undefined && !leases.stands(leaseId)) return false;
    apply(key, value, leaseId);
    return true;
  };

  const writeAll: StoreEngine["writeAll"] = (expected, writes) => {
    counts.writes += 1;
    if (expected.some(({ key, revision: wanted }) => (records.get(key)?.revision ?? 0) !== wanted))
      return false;
    if (writes.some(({ leaseId }) => leaseId !== undefined && !leases.stands(leaseId))) return false;
    // All writes of a transaction get one revision, the one in its response. With a revision for each write, owners
    // conflict with their own writes.
    revision += 1;
    for (const { key, value, leaseId } of writes) applyAt(key, value, leaseId);
    return true;
  };

  const countLease = <Result>(result: Result): Result => {
    counts.leases += 1;
    return result;
  };

  return {
    counts,
    revision: () => revision,
    range,
    write,
    writeAll,
    changes: (start, end, afterRevision) => changes.read(start, end, afterRevision),
    grantLease: (ttlMilliseconds) => countLease(leases.grant(ttlMilliseconds)),
    renewLease: (leaseId) => countLease(leases.renew(leaseId)),
    revokeLease: (leaseId) => countLease(leases.revoke(leaseId)),
    watch: (start, end, fromRevision, report) => {
      counts.watches += 1;
      return changes.watch({ start, end, report }, fromRevision);
    },
    close: () => {
      leases.close();
    },
  };
}

interface ChangeLog {
  publish(change: EngineChange): void;
  read(start: string, end: string, afterRevision: number): EngineChange[];
  watch(watcher: Watcher, fromRevision: number): () => void;
}

function createChangeLog(): ChangeLog {
  const history: EngineChange[] = [];
  const watchers = new Set<Watcher>();
  return {
    publish: (change) => {
      history.push(change);
      if (history.length > historyLimit) history.shift();
      for (const watcher of watchers) {
        if (isInRange(change.key, watcher.start, watcher.end)) watcher.report(change);
      }
    },
    read: (start, end, afterRevision) =>
      history.filter(({ key, revision }) => revision > afterRevision && isInRange(key, start, end)),
    watch: (watcher, fromRevision) => {
      history
        .filter(({ key, revision }) => revision >= fromRevision && isInRange(key, watcher.start, watcher.end))
        .forEach(watcher.report);
      watchers.add(watcher);
      return () => watchers.delete(watcher);
    },
  };
}

interface Leases {
  stands(leaseId: string): boolean;
  grant(ttlMilliseconds: number): string;
  renew(leaseId: string): number;
  revoke(leaseId: string): boolean;
  close(): void;
}

function createLeases(onEnd: (leaseId: string) => void): Leases {
  const leases = new Map<string, Lease>();
  let nextLease = 1;

  const end = (leaseId: string): void => {
    const lease = leases.get(leaseId);
    if (lease === undefined) return;
    clearTimeout(lease.timer);
    leases.delete(leaseId);
    onEnd(leaseId);
  };

  const startTimer = (leaseId: string, ttlMilliseconds: number): NodeJS.Timeout => {
    const timer = setTimeout(() => {
      end(leaseId);
    }, ttlMilliseconds);
    return timer.unref();
  };

  return {
    stands: (leaseId) => leases.has(leaseId),
    grant: (ttlMilliseconds) => {
      const leaseId = String(nextLease);
      nextLease += 1;
      leases.set(leaseId, { ttlMilliseconds, timer: startTimer(leaseId, ttlMilliseconds) });
      return leaseId;
    },
    renew: (leaseId) => {
      const lease = leases.get(leaseId);
      if (lease === undefined) return 0;
      clearTimeout(lease.timer);
      lease.timer = startTimer(leaseId, lease.ttlMilliseconds);
      return lease.ttlMilliseconds;
    },
    revoke: (leaseId) => {
      const stood = leases.has(leaseId);
      end(leaseId);
      return stood;
    },
    close: () => {
      for (const lease of leases.values()) clearTimeout(lease.timer);
      leases.clear();
    },
  };
}

function isInRange(key: string, start: string, end: string): boolean {
  return key >= start && key < end;
}
