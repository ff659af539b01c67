/**
 * A local copy of all records below a prefix, updated by a watch and reconciled with periodic lists.
 * @packageDocumentation
 */
import Emittery from "emittery";
import { delay } from "../shared/index.js";
import { createMirroredRecords } from "./mirrored-records.js";
import type { StoreClient, StoreRecord, StoreWatch } from "./store.js";

/** How many refresh periods pass between two lists while no watch is open. */
const unwatchedRefreshPeriods = 12;

/** Events of a mirror. */
export interface StoreMirrorEvents {
  /** A record was added or replaced. */
  changed: StoreRecord;
  /** A record was deleted. */
  deleted: { readonly key: string };
  /** The copy was compared with the whole list of the prefix. */
  confirmed: { readonly revision: number };
}

/** A local copy of the records below a prefix. */
export interface StoreMirror {
  readonly events: Emittery<StoreMirrorEvents>;
  /** The records as last received, by key. */
  records(): ReadonlyMap<string, StoreRecord>;
  /**
   * When the request of the last successful list was sent, in milliseconds since the epoch; 0 before the first.
   * The copy contains every change up to that time.
   */
  confirmedAt(): number;
  /**
   * Stores a record that came from a peer or was written by this process.
   * Ignores a record whose revision is not higher than that of the stored record or of the key's deletion.
   */
  offer(record: StoreRecord): void;
  /**
   * Keeps the watch open only while a condition is true; the condition is evaluated once per refresh period.
   * Without a watch the mirror still lists the prefix, every 12 refresh periods.
   */
  watchWhile(condition: () => boolean): void;
  /** Lists the prefix now and updates the copy; returns false when the store call failed. */
  refresh(): Promise<boolean>;
  /** Closes the watch and removes all event listeners. */
  close(): void;
}

/** Options of a mirror. */
export interface StoreMirrorOptions {
  readonly store: StoreClient;
  readonly prefix: string;
  /**
   * Interval of reading the whole list; it bounds how long changes are missed if the watch silently stops reporting.
   */
  readonly refreshMilliseconds: number;
  /** Delay before a failed list is repeated or a broken watch is opened again. */
  readonly retryMilliseconds: number;
}

/**
 * Creates a mirror and starts its watch.
 * @param options - the store, the prefix and the intervals
 * @returns the mirror, empty until the first list succeeded
 */
export function createStoreMirror(options: StoreMirrorOptions): StoreMirror {
  const { store, prefix } = options;
  const events = new Emittery<StoreMirrorEvents>();
  const stop = new AbortController();
  const records = createMirroredRecords({
    onChanged: (record) => void events.emit("changed", record),
    onDeleted: (key) => void events.emit("deleted", { key }),
  });
  let shouldWatch = (): boolean => true;
  let confirmedAt = 0;

  const refresh = async (): Promise<ListComparison | undefined> => {
    // The list may be as old as its request, even if this process was paused before it read the response.
    const requestSentAt = Date.now();
    const listing = await store.list(prefix);
    return listing.caseOf<ListComparison | undefined>({
      Left: () => undefined,
      Right: (found) => {
        const hasDifferences = records.replaceAll(found);
        confirmedAt = Math.max(confirmedAt, requestSentAt);
        void events.emit("confirmed", { revision: found.revision });
        return { revision: found.revision, hasDifferences };
      },
    });
  };

  const openWatch = (fromRevision: number, onBroken: () => void): StoreWatch =>
    store.watch(prefix, fromRevision, {
      onChange: ({ key, value, revision }) => {
        if (value === undefined) records.remove(key, revision);
        else records.offer({ key, value, revision });
      },
      onBroken,
    });

  const watchUntilBroken = async (fromRevision: number): Promise<void> => {
    const broken = new AbortController();
    const ended = AbortSignal.any([broken.signal, stop.signal]);
    const watch = openWatch(fromRevision, () => {
      broken.abort();
    });
    while (shouldWatch()) {
      await delay(options.refreshMilliseconds, ended);
      if (ended.aborted) break;
      const compared = await refresh();
      // Records that only the list contained mean that the watch has stopped reporting; open a new one.
      if (compared?.hasDifferences === true) break;
    }
    watch.close();
    if (broken.signal.aborted) await delay(options.retryMilliseconds, stop.signal);
  };

  const waitWithoutWatch = async (): Promise<void> => {
    for (let period = 0; period < unwatchedRefreshPeriods && !shouldWatch(); period += 1) {
      await delay(options.refreshMilliseconds, stop.signal);
    }
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      const compared = await refresh();
      if (compared === undefined) await delay(options.retryMilliseconds, stop.signal);
      else if (shouldWatch()) await watchUntilBroken(compared.revision + 1);
      else await waitWithoutWatch();
    }
  };

  void run();
  return {
    events,
    records: () => records.recordsByKey,
    confirmedAt: () => confirmedAt,
    offer: (record) => {
      records.offer(record);
    },
    watchWhile: (condition) => {
      shouldWatch = condition;
    },
    refresh: async () => (await refresh()) !== undefined,
    close: () => {
      stop.abort();
      events.clearListeners();
    },
  };
}

interface ListComparison {
  readonly revision: number;
  /** Whether the list contained a change that the mirror did not have yet. */
  readonly hasDifferences: boolean;
}
