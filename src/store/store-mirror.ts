/**
 * A local copy of all records below a prefix, kept by a watch and repaired by reading the list again.
 * @packageDocumentation
 */
import Emittery from "emittery";
import { delay } from "../shared/index.js";
import { createMirroredRecords } from "./mirrored-records.js";
import type { StoreClient, StoreRecord, StoreWatch } from "./store.js";

/** How many refresh periods pass between two lists while no watch is held. */
const unwatchedRefreshPeriods = 12;

/** What a mirror reports. */
export interface StoreMirrorEvents {
  /** A record was added or replaced. */
  changed: StoreRecord;
  /** A record was deleted. */
  deleted: { readonly key: string };
  /** The copy was compared with the store's whole list. */
  confirmed: { readonly revision: number };
}

/** A local copy of the records below a prefix. */
export interface StoreMirror {
  readonly events: Emittery<StoreMirrorEvents>;
  /** The records as last received, by key. */
  records(): ReadonlyMap<string, StoreRecord>;
  /**
   * When the last list that arrived was asked for, in milliseconds since the epoch; 0 before the first.
   * Changes up to that time are held.
   */
  confirmedAt(): number;
  /**
   * Takes over a record that was received elsewhere or written by this process.
   * A revision that is not higher than the one held, or than that of the key's deletion, is passed over.
   */
  offer(record: StoreRecord): void;
  /**
   * Holds the watch only while a condition is true, which is asked once a refresh period.
   * Without a watch the periodic list remains.
   */
  watchWhile(condition: () => boolean): void;
  /** Compares with the store now. */
  refresh(): Promise<boolean>;
  /** Ends the watch. */
  close(): void;
}

/** Settings of a mirror. */
export interface StoreMirrorOptions {
  readonly store: StoreClient;
  readonly prefix: string;
  /** How often the whole list is read, for watches that have gone silent. */
  readonly refreshMilliseconds: number;
  /** The wait before a broken watch is set up anew. */
  readonly retryMilliseconds: number;
}

/**
 * Creates a mirror and starts its watch.
 * @param options - prefix and periods
 * @returns the mirror, empty until the first list arrived
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
    // The list may be as old as its request, also when this process was paused before it read the answer.
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
      // A list that brought news shows that the watch has gone silent.
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
  /** Whether the list held anything that was not known. */
  readonly hasDifferences: boolean;
}
