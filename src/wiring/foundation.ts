/**
 * Dependencies shared by all components of an entry: settings, log, metrics, traces, store and mirrors.
 * @packageDocumentation
 */
import { currentConfigurationKey } from "../configuration/index.js";
import { memberListPrefix } from "../membership/index.js";
import {
  createStoreMirror,
  EtcdStoreClient,
  GuardedStoreClient,
  type StoreClient,
  type StoreMirror,
} from "../store/index.js";
import { placementPrefix } from "../pools/index.js";
import type { EntrySettings } from "../settings/index.js";
import { createRandom } from "../shared/index.js";
import {
  createMetrics,
  createSpanExporter,
  createTracing,
  type Log,
  type Metrics,
  type Tracing,
} from "../telemetry/index.js";

const mirrorRefreshMilliseconds = 5_000;
const mirrorRetryMilliseconds = 500;

/** Dependencies shared by all components of an entry. */
export interface Foundation {
  readonly settings: EntrySettings;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly store: StoreClient;
  readonly mirrors: Readonly<Record<"configuration" | "placement" | "memberList", StoreMirror>>;
  /** Aborted when the entry closes. */
  readonly stop: AbortController;
  close(): Promise<void>;
}

/**
 * Creates the shared dependencies.
 * @param settings - validated settings
 * @param log - receives events; the entry's identifier is added to each
 * @returns the dependencies; the mirrors have started to load
 */
export function wireFoundation(settings: EntrySettings, log: Log): Foundation {
  const entryLog = log.with({ entry: settings.entryId });
  const tracing = createTracing(createSpanExporter(settings.traces, entryLog));
  const metrics = createMetrics();
  const client = new EtcdStoreClient(settings.store);
  const { callsPerSecond } = settings.store;
  const random = createRandom(settings.seed);
  const store = new GuardedStoreClient({ client, callsPerSecond, random, metrics });
  const mirror = (prefix: string): StoreMirror =>
    createStoreMirror({
      store,
      prefix,
      refreshMilliseconds: mirrorRefreshMilliseconds,
      retryMilliseconds: mirrorRetryMilliseconds,
    });
  const mirrors = {
    configuration: mirror(currentConfigurationKey),
    placement: mirror(placementPrefix),
    memberList: mirror(memberListPrefix),
  };
  const stop = new AbortController();
  const close = async (): Promise<void> => {
    stop.abort();
    for (const each of Object.values(mirrors)) each.close();
    await Promise.all([client.close(), tracing.close()]);
  };
  return { settings, log: entryLog, metrics, tracing, store, mirrors, stop, close };
}

interface Listener {
  listen(host: string, port: number): Promise<number>;
}

/**
 * Starts a service on a configured address.
 * @param part - service that starts to listen
 * @param address - host and port; port 0 selects a free port
 * @returns the address in use, as `IP:port`
 */
export async function listenOn(part: Listener, { host, port }: EntrySettings["requests"]): Promise<string> {
  return `${host}:${await part.listen(host, port)}`;
}
