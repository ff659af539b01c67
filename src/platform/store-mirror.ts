/**
 * A local copy of all records below a prefix, kept by a watch and repaired by reading the list again.
 * @packageDocumentation
 */
import Emittery from "emittery";
import { delay } from "../shared/index.js";
import type { StoreClient, StoreRecord } from "./store.js";

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
  /** The records as last heard, by key. */
  records(): ReadonlyMap<string, StoreRecord>;
  /** The time of the last comparison with the store in milliseconds since the epoch, 0 before the first. */
  confirmedAt(): number;
  /**
   * Takes over a record that was heard elsewhere or written by this process.
   * A revision that is not higher than the one held is passed over.
   */
  offer(record: StoreRecord): void;
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
  const records = new Map<string, StoreRecord>();
  const stop = new AbortController();
  let confirmedAt = 0;

  const offer = (record: StoreRecord): void => {
    if ((records.get(record.key)?.revision ?? 0) >= record.revision) return;
    records.set(record.key, record);
    void events.emit("changed", record);
  };

  const remove = (key: string, revision: number): void => {
    if ((records.get(key)?.revision ?? Infinity) > revision) return;
    records.delete(key);
    void events.emit("deleted", { key });
  };

  const refresh = async (): Promise<number | undefined> => {
    const listing = await store.list(prefix);
    return listing.caseOf({
      Left: () => undefined,
      Right: ({ records: found, revision }) => {
        const keys = new Set(found.map(({ key }) => key));
        for (const key of [...records.keys()].filter((held) => !keys.has(held))) remove(key, revision);
        found.forEach(offer);
        confirmedAt = Date.now();
        void events.emit("confirmed", { revision });
        return revision;
      },
    });
  };

  const watchUntilDue = async (fromRevision: number): Promise<void> => {
    const broken = new AbortController();
    const watch = store.watch(prefix, fromRevision, {
      onChange: ({ key, value, revision }) => {
        if (value === undefined) remove(key, revision);
        else offer({ key, value, revision });
      },
      onBroken: () => {
        broken.abort();
      },
    });
    await delay(options.refreshMilliseconds, AbortSignal.any([broken.signal, stop.signal]));
    watch.close();
  };

  const run = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      const revision = await refresh();
      if (revision === undefined) await delay(options.retryMilliseconds, stop.signal);
      else await watchUntilDue(revision + 1);
    }
  };

  void run();
  return {
    events,
    records: () => records,
    confirmedAt: () => confirmedAt,
    offer,
    refresh: async () => (await refresh()) !== undefined,
    close: () => {
      stop.abort();
      events.clearListeners();
    },
  };
}
