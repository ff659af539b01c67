/**
 * In-process entries for tests: a store, peers that can be disconnected, paused and killed, and the placement components
 * of each entry.
 * @packageDocumentation
 */
import Emittery from "emittery";
import { Left, Right } from "purify-ts";
import type { OperatorConfiguration } from "../../configuration/index.js";
import type { PeerNetwork, PeerNetworkEvents, PeerState } from "../../membership/index.js";
import { createStoreMirror, type StoreMirror } from "../../store/index.js";
import {
  createStoreEngine,
  createStoreFaults,
  MemoryStoreClient,
  type StoreEngine,
  type StoreFaults,
} from "../../stand-ins/store/index.js";
import { createLog, type Log } from "../../telemetry/index.js";
import {
  createKnownEntries,
  createMover,
  createPlacementCommands,
  createPlacementView,
  createPlacementWriter,
  createViewConfidence,
  placementKey,
  placementPrefix,
  startPlacementExchange,
  type KnownEntries,
  type Mover,
  type PlacedInstance,
  type PlacementCommands,
  type PlacementRecord,
  type PlacementView,
  type PlacementWriter,
  type ViewConfidence,
} from "../index.js";

type Answer = (body: unknown, peerId: string) => unknown;

/** One entry with its placement components. */
export interface FakeEntry {
  readonly entryId: string;
  readonly faults: StoreFaults;
  readonly store: MemoryStoreClient;
  readonly mirror: StoreMirror;
  readonly view: PlacementView;
  readonly writer: PlacementWriter;
  readonly commands: PlacementCommands;
  readonly entries: KnownEntries;
  readonly confidence: ViewConfidence;
  readonly mover: Mover;
  readonly peers: PeerNetwork;
  readonly log: Log;
  readonly answers: Map<string, Answer>;
  readonly reports: Map<string, () => number>;
  readonly events: Emittery<PeerNetworkEvents>;
  readonly state: { alive: boolean; paused: boolean; confirmedAt: number };
  readonly inProgress: Map<string, number>;
  /** Reads the store; a successful read confirms the entry's view. */
  refresh(): Promise<void>;
  /** Sends a heartbeat to every entry that can be reached. */
  heartbeat(): Promise<void>;
}

/** State shared by all entries of a test. */
export interface World {
  readonly engine: StoreEngine;
  /** Current time of all entries, in milliseconds since the epoch. */
  time: number;
  /** Identifiers in the store's member list. */
  listed: string[];
  readonly entries: Map<string, FakeEntry>;
  /** Disconnected pairs of entries as `first|second`; each applies to both directions. */
  readonly cuts: Set<string>;
  text: OperatorConfiguration | undefined;
}

/** Creates a world without entries. */
export function createWorld(): World {
  return {
    engine: createStoreEngine(),
    time: 1_000_000,
    listed: [],
    entries: new Map(),
    cuts: new Set(),
    text: undefined,
  };
}

/** Runs all pending promises and events that do not depend on a timer. */
export async function settle(): Promise<void> {
  for (let turns = 0; turns < 3; turns += 1) await new Promise((resolve) => setImmediate(resolve));
}

/** Creates an entry and adds it to the member list. */
export function createFakeEntry(world: World, entryId: string): FakeEntry {
  const faults = createStoreFaults();
  const store = new MemoryStoreClient(world.engine, faults);
  const mirror = createStoreMirror({
    store,
    prefix: placementPrefix,
    refreshMilliseconds: 3_600_000,
    retryMilliseconds: 3_600_000,
  });
  const answers = new Map<string, Answer>();
  const reports = new Map<string, () => number>();
  const inProgress = new Map<string, number>();
  const events = new Emittery<PeerNetworkEvents>();
  const state = { alive: true, paused: false, confirmedAt: world.time };
  const now = (): number => world.time;
  const peers = createFakePeers(world, { entryId, answers, reports, events, state });
  const log = createLog("silent");
  const listed = (): readonly string[] => world.listed;
  const entries = createKnownEntries({ entryId, peers, listed, now });
  const view = createPlacementView(mirror);
  const writer = createPlacementWriter(store, mirror);
  const commands = createPlacementCommands(view, writer);
  startPlacementExchange(peers, mirror);
  const confidence = createViewConfidence({
    entryId,
    entries,
    peers,
    confirmedAt: () => state.confirmedAt,
    now,
  });
  const mover = createMover({
    entryId,
    view,
    writer,
    peers,
    entries,
    log,
    now,
    text: () => world.text,
    inProgress: (instanceId) => inProgress.get(instanceId) ?? 0,
  });
  const refresh = async (): Promise<void> => {
    if (await mirror.refresh()) state.confirmedAt = world.time;
    await settle();
  };
  const heartbeat = async (): Promise<void> => {
    for (const other of world.entries.values()) {
      if (canCommunicate(world, entryId, other.entryId))
        await other.events.emit("heartbeat", { peerId: entryId });
    }
  };
  const entry = {
    entryId,
    faults,
    store,
    mirror,
    view,
    writer,
    commands,
    entries,
    confidence,
    mover,
    peers,
    log,
    answers,
    reports,
    events,
    state,
    inProgress,
    refresh,
    heartbeat,
  };
  world.entries.set(entryId, entry);
  world.listed.push(entryId);
  return entry;
}

/** Whether messages pass between two different entries in both directions. */
export function canCommunicate(world: World, from: string, to: string): boolean {
  const isUp = [from, to].every((entryId) => {
    const state = world.entries.get(entryId)?.state;
    return state?.alive === true && !state.paused;
  });
  return from !== to && isUp && !world.cuts.has(`${from}|${to}`) && !world.cuts.has(`${to}|${from}`);
}

/** Disconnects an entry from all others. */
export function isolate(world: World, entryId: string): void {
  for (const other of world.entries.keys()) world.cuts.add(`${entryId}|${other}`);
}

interface FakePeerParts {
  readonly entryId: string;
  readonly answers: Map<string, Answer>;
  readonly reports: Map<string, () => number>;
  readonly events: Emittery<PeerNetworkEvents>;
  readonly state: { alive: boolean; paused: boolean };
}

function createFakePeers(world: World, parts: FakePeerParts): PeerNetwork {
  const { entryId, answers, reports, events } = parts;
  const stateOf = (peerId: string): PeerState => {
    if (canCommunicate(world, entryId, peerId)) return "up";
    return world.entries.get(peerId)?.state.alive === false ? "gone" : "unreachable";
  };
  const others = (): string[] => [...world.entries.keys()].filter((other) => other !== entryId);
  return {
    events,
    answer: (definition, answer) => {
      answers.set(definition.name, async (body, peerId) => answer(definition.request.parse(body), peerId));
    },
    call: async (peerId, definition, request) => {
      await Promise.resolve();
      const answer = world.entries.get(peerId)?.answers.get(definition.name);
      if (!canCommunicate(world, entryId, peerId) || answer === undefined) {
        return Left({ kind: "not-connected", message: "cut" });
      }
      return Right(definition.reply.parse(await answer(request, entryId)));
    },
    report: (name, read) => {
      reports.set(name, read);
    },
    reported: (peerId, name) => world.entries.get(peerId)?.reports.get(name)?.() ?? 0,
    upPeers: () => others().filter((other) => stateOf(other) === "up"),
    peers: () => others().map((peerId) => ({ peerId, state: stateOf(peerId), lastReceivedAt: 0 })),
    bytesSent: () => 0,
    bytesReceived: () => 0,
    fetchRoster: async () => Promise.resolve([]),
    listen: async () => Promise.resolve(0),
    follow: () => undefined,
    close: async () => Promise.resolve(),
  };
}

/** Reads a zone's record from the store. */
export function readPlacement(world: World, zone = "zone-1"): PlacementRecord {
  return JSON.parse(world.engine.range(placementKey(zone))[0]?.value ?? "{}") as PlacementRecord;
}

/** Finds an instance in the store's record of its zone. */
export function stored(world: World, instanceId: string, zone = "zone-1"): PlacedInstance | undefined {
  return readPlacement(world, zone).instances[instanceId];
}

/** Adds `count` serving instances of a pool, named `<zone>-<pool>-<number>`, to a zone's record. */
export function writeInstances(world: World, zone: string, pool: string, count: number): void {
  const key = placementKey(zone);
  const held = world.engine.range(key)[0];
  const before = held === undefined ? {} : readPlacement(world, zone).instances;
  const added = Array.from({ length: count }, (_, index): PlacedInstance => {
    const instanceId = `${zone}-${pool}-${index + 1}`;
    const rack = `${zone}-rack-${Math.floor(index / 2) + 1}`;
    return {
      instanceId,
      address: `10.0.0.${index + 1}:80`,
      rack,
      pool,
      state: "serving",
      recentChanges: [],
      since: 1,
    };
  });
  const instances = { ...before, ...Object.fromEntries(added.map((each) => [each.instanceId, each])) };
  const value = JSON.stringify({ zone, writeId: "first", instances });
  world.engine.write({ key, value, expectedRevision: held?.revision ?? 0, leaseId: undefined });
}

/** Creates a world with three entries and two pools of two instances each. */
export async function startThree() {
  const world = createWorld();
  writeInstances(world, "zone-1", "quotes", 2);
  writeInstances(world, "zone-1", "spare", 2);
  const [first, second, third] = ["entry-1", "entry-2", "entry-3"].map((id) => createFakeEntry(world, id));
  if (first === undefined || second === undefined || third === undefined)
    throw new Error("expected three entries");
  await refreshAll(world);
  return { world, first, second, third };
}

/** Makes every running entry read the store, if it can, and send a heartbeat. */
export async function refreshAll(world: World): Promise<void> {
  for (const entry of world.entries.values()) {
    if (!entry.state.alive || entry.state.paused) continue;
    await entry.refresh();
    await entry.heartbeat();
  }
  await settle();
}

/** Advances the time in steps of 500 ms; at each, the running entries refresh and check their view. */
export async function passTime(world: World, milliseconds: number): Promise<void> {
  const stepMilliseconds = 500;
  for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
    world.time += stepMilliseconds;
    await refreshAll(world);
    for (const entry of world.entries.values()) {
      if (entry.state.alive && !entry.state.paused) await entry.confidence.step();
    }
  }
}

/** Closes the mirrors of all entries and the store. */
export function closeWorld(world: World): void {
  for (const { mirror } of world.entries.values()) mirror.close();
  world.engine.close();
}
