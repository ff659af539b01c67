/**
 * A whole small fleet in one process: store, instance list, targets, entries and balancer.
 * @packageDocumentation
 */
import type { ListedInstance } from "../../store/index.js";
import { checkEntrySettings, type EntrySettings } from "../../settings/index.js";
import { delay } from "../../shared/index.js";
import { createLog, type Log } from "../../telemetry/index.js";
import { startEntry, type CreateAllocator, type Entry } from "../../wiring/index.js";
import { startBalancerStandIn, type BalancerStandIn } from "../balancer/index.js";
import { startInstanceListStandIn, type InstanceListStandIn } from "../instance-list/index.js";
import { startStoreStandIn, type StoreStandIn } from "../store/index.js";
import { startTargetStandIn, type TargetStandIn } from "../target/index.js";

/** Size and behaviour of a fleet. */
export interface FleetOptions {
  /** The operators' configuration as decoded JSON. */
  readonly text: unknown;
  /** Targets for each pool by its name. */
  readonly targets: Readonly<Record<string, number>>;
  readonly entries: number;
  readonly zones: number;
  readonly meanRunMilliseconds: number;
  readonly seed: number;
  readonly log?: Log;
  /** Changes an entry's settings before it is checked. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Creates the entries' allocators; the one of production by default. */
  readonly createAllocator?: CreateAllocator;
}

/** A running fleet. */
export interface Fleet {
  readonly store: StoreStandIn;
  readonly instanceList: InstanceListStandIn;
  readonly targets: readonly TargetStandIn[];
  readonly entries: readonly Entry[];
  readonly balancer: BalancerStandIn;
  /** Starts one more entry, which the balancer does not know. */
  addEntry(entryId: string): Promise<Entry>;
  close(): Promise<void>;
}

const listLagMilliseconds = 50;
const targetsPerRack = 4;
const pollMilliseconds = 20;

/**
 * Starts a fleet, applies its configuration and waits until every entry is ready.
 * @param options - size and behaviour
 * @returns the running fleet
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const store = await startStoreStandIn();
  const instanceList = await startInstanceListStandIn(listLagMilliseconds);
  const { targets, listed } = await startTargets(options);
  instanceList.set(listed);
  const log = options.log ?? createLog("silent");
  const start = async (entryId: string, zone: string): Promise<Entry> =>
    startEntry(
      createSettings(entryId, zone, store.address, instanceList.address, options),
      log,
      options.createAllocator,
    );
  const entries = await Promise.all(
    Array.from({ length: options.entries }, async (_, index) =>
      start(`entry-${index + 1}`, `zone-${(index % options.zones) + 1}`),
    ),
  );
  const balancer = await startBalancerStandIn(entries.map(({ addresses }) => addresses.requests));
  const token = options.settings?.operatorToken;
  await applyFirstConfiguration(entries[0], options.text, typeof token === "string" ? token : undefined);
  await waitUntil(
    () =>
      entries.every(({ placement }) => placement.all().length === targets.length) &&
      entries.every(({ peers }) => peers.upPeers().length === entries.length - 1) &&
      balancer.readyEntries().length === entries.length,
  );
  const added: Entry[] = [];
  return {
    store,
    instanceList,
    targets,
    entries,
    balancer,
    addEntry: async (entryId) => {
      const entry = await start(entryId, "zone-1");
      added.push(entry);
      return entry;
    },
    close: async () => {
      await balancer.close();
      await Promise.all([...entries, ...added].map(async (entry) => entry.kill()));
      await Promise.all([...targets, instanceList, store].map(async (part) => part.close()));
    },
  };
}

/**
 * Waits until a condition holds.
 * @param condition - looked at again and again
 * @param timeoutMilliseconds - the bound
 * @returns whether it held within the bound
 */
export async function waitUntil(condition: () => boolean, timeoutMilliseconds = 10_000): Promise<boolean> {
  const deadlineAt = Date.now() + timeoutMilliseconds;
  while (Date.now() < deadlineAt) {
    if (condition()) return true;
    await delay(pollMilliseconds);
  }
  return condition();
}

async function startTargets(
  options: FleetOptions,
): Promise<{ targets: TargetStandIn[]; listed: ListedInstance[] }> {
  const pools = Object.entries(options.targets).flatMap(([pool, count]) =>
    Array.from({ length: count }, () => pool),
  );
  const targets = await Promise.all(
    pools.map(async (_, index) =>
      startTargetStandIn({
        instanceId: `target-${index + 1}`,
        meanRunMilliseconds: options.meanRunMilliseconds,
        seed: options.seed + index,
      }),
    ),
  );
  const listed = targets.map(({ instanceId, address }, index) => {
    const zone = `zone-${(index % options.zones) + 1}`;
    const rack = `${zone}-rack-${Math.floor(index / (targetsPerRack * options.zones)) + 1}`;
    return { instanceId, address, zone, rack, state: "live" as const, pool: pools[index] };
  });
  return { targets, listed };
}

function createSettings(
  entryId: string,
  availabilityZone: string,
  storeAddress: string,
  listAddress: string,
  options: FleetOptions,
): EntrySettings {
  const anyPort = { host: "127.0.0.1", port: 0 };
  const seed = options.seed + Number(entryId.replace(/\D/g, ""));
  return checkEntrySettings({
    entryId,
    availabilityZone,
    requests: anyPort,
    peers: anyPort,
    operators: anyPort,
    store: { address: storeAddress },
    instanceList: { address: listAddress },
    seed,
    ...options.settings,
  }).unsafeCoerce();
}

/** As an operator does: the same change again while the entry says that it does not reach the store yet. */
async function applyFirstConfiguration(
  entry: Entry | undefined,
  configuration: unknown,
  token?: string,
): Promise<void> {
  const giveUpAt = performance.now() + firstConfigurationMilliseconds;
  for (;;) {
    const response = await fetch(`http://${entry?.addresses.operators ?? ""}/operator/configuration`, {
      method: "POST",
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      body: JSON.stringify({ changeId: "first", author: "fleet", baseRevision: 0, text: configuration }),
    });
    if (response.status === 200) return;
    const answer = await response.text();
    if (response.status !== serviceUnavailable || performance.now() > giveUpAt)
      throw new Error(`the first text was not accepted: ${response.status} ${answer}`);
    await delay(firstConfigurationPauseMilliseconds);
  }
}

const serviceUnavailable = 503;
const firstConfigurationMilliseconds = 10_000;
const firstConfigurationPauseMilliseconds = 200;
