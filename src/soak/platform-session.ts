/**
 * Starts and stops the stand-ins and entries of one soak.
 * @packageDocumentation
 */
import type { Machine, MaintenanceWave } from "../fleet/index.js";
import type { QueueTable } from "../jobs/index.js";
import { delay } from "../shared/index.js";
import {
  createStoreEngine,
  createStoreFaults,
  MachineList,
  startTcpProxy,
  type MachineOrder,
  type StoreEngine,
  type StoreFaults,
  type TcpProxy,
} from "../stand-ins/index.js";
import type { SoakBounds } from "./bounds.js";
import { soakHost } from "./callers.js";
import { readClock } from "./clock.js";
import { EntryProcess } from "./entries.js";
import { EntryClock } from "./entry-clock.js";
import type { SoakHistory } from "./history.js";
import type { SoakQueue } from "./job-plan.js";
import { readOwners } from "./owners.js";
import { findFreePorts } from "./ports.js";
import { putRecord } from "./records.js";
import { TargetFleet, type TargetHost } from "./targets.js";
import type { EntryPorts, RunningService, SoakWire } from "./wire.js";

/** The number of processes and stand-ins of a soak. */
export interface SoakSize {
  readonly entries: number;
  readonly pools: number;
  readonly targetsPerPool: number;
  /** How many machines share a rack; 4 by default. */
  readonly targetsPerRack?: number | undefined;
}

/** Options of a session. */
export interface SessionOptions {
  readonly wire: SoakWire;
  readonly size: SoakSize;
  readonly bounds: SoakBounds;
  readonly history: SoakHistory;
  /** Additional Node.js arguments of the entries. */
  readonly runtimeArguments?: readonly string[] | undefined;
  /** The folder of the program, the settings and the logs. */
  readonly folder: string;
  /** A bundle to run in place of one that is built from these sources. */
  readonly program?: string | undefined;
  /** Whether the wall clocks of entries can be moved. */
  readonly movesClocks?: boolean | undefined;
}

/** The running stand-ins and entries of a soak. */
export interface PlatformSession {
  readonly engine: StoreEngine;
  readonly storeFaults: StoreFaults;
  readonly entries: readonly EntryProcess[];
  readonly targets: TargetFleet;
  readonly machines: MachineList;
  readonly queues: readonly SoakQueue[];
  readonly waves: MaintenanceWave[];
  /** The entries' wall clocks; empty unless they can be moved. */
  readonly clocks: readonly EntryClock[];
  /** Reads the identifiers of the entries that own pools, by pool. */
  owners(): ReadonlyMap<string, string>;
  /** Writes the next version of the configuration, with a number of additional queues. */
  changeConfiguration(extraQueues: number): void;
  requestWave(wave: MaintenanceWave): void;
  /** Crashes the target of a machine and starts a new one after the downtime. */
  crashMachine(host: TargetHost, downMilliseconds: number): Promise<void>;
  /** Drains and removes the target of a machine and starts a new one after the downtime. */
  drainMachine(host: TargetHost, downMilliseconds: number): Promise<void>;
  /** Kills the entries and stops the stand-ins. */
  close(): Promise<void>;
}

const zoneCount = 3;
const coresPerMachine = 16;
const defaultTargetsPerRack = 4;
const portsPerEntry = 4;
const versionStep = 3;
const objectiveMilliseconds = 3_000;
const slackFactor = 3;
const attempts = 2;

/**
 * Starts the stand-ins and the entries' processes.
 * @param options - size, bounds, and the history that events are recorded in
 * @returns the session; its entries may not be ready yet
 */
export async function startSession(options: SessionOptions): Promise<PlatformSession> {
  const { wire, size, bounds, history, folder } = options;
  const engine = createStoreEngine();
  const storeFaults = createStoreFaults();
  const store = await wire.serveStore(engine, storeFaults);
  const targets = new TargetFleet({ wire, engine, storeFaults, bounds, history });
  const waves: MaintenanceWave[] = [];
  const machines = createMachines(options, targets, waves);
  const machineService = await wire.serveMachines(machines);
  const queues = createQueues(size);
  for (const machine of drawMachines(size)) {
    machines.set({ ...machine, targetId: await targets.start(machine) });
  }
  let version = 1;
  const changeConfiguration = (extraQueues: number): void => {
    version += versionStep;
    putRecord(engine, wire.encodeConfiguration(createTable(version, queues, extraQueues)));
  };
  changeConfiguration(0);
  const program = options.program ?? (await wire.buildProgram(folder));
  const services = { store: store.port, machines: machineService.port };
  const { entries, links, clocks } = await createEntries(options, program, services);
  const killEntries = (): void => {
    for (const entry of entries) entry.killWithoutWaiting();
  };
  process.once("exit", killEntries);
  await Promise.all(entries.map(async (entry) => entry.start()));
  const replaceTarget = async (host: TargetHost, end: () => Promise<void>, down: number): Promise<void> => {
    const { machineId } = host.machine;
    const readMachine = (): Machine | undefined =>
      machines.list().find((each) => each.machineId === machineId);
    await end();
    const machine = readMachine();
    // Another order may have replaced or removed the machine's target meanwhile.
    if (machine?.targetId !== host.targetId) return;
    machines.set({ ...machine, state: "down", targetId: undefined });
    await delay(down);
    machines.set({ ...machine, state: "up", targetId: await targets.start(machine) });
  };
  return {
    crashMachine: async (host, away) => replaceTarget(host, async () => targets.crash(host.targetId), away),
    drainMachine: async (host, away) => replaceTarget(host, async () => targets.drain(host), away),
    engine,
    storeFaults,
    entries,
    targets,
    machines,
    queues,
    waves,
    clocks,
    owners: () => readOwners(engine),
    changeConfiguration,
    requestWave: (wave) => {
      waves.push(wave);
      const { machineIds, maximumDown } = wave;
      history.waves.push({ wave: wave.wave, machineIds, maximumDown, completeAt: undefined });
      putRecord(engine, wire.encodeWave(wave));
    },
    close: async () => {
      await closeAll(entries, targets, machines, engine, [...links, machineService, store]);
      process.off("exit", killEntries);
    },
  };
}

interface CreatedEntries {
  readonly entries: readonly EntryProcess[];
  /** The proxies between the entries and the store. */
  readonly links: readonly TcpProxy[];
  readonly clocks: readonly EntryClock[];
}

/** Creates the entries without starting their processes. */
async function createEntries(
  options: SessionOptions,
  program: string,
  services: Pick<EntryPorts, "store" | "machines">,
): Promise<CreatedEntries> {
  const { wire, size, bounds, history, folder, runtimeArguments, movesClocks = false } = options;
  const links: TcpProxy[] = [];
  const entries: EntryProcess[] = [];
  const clocks: EntryClock[] = [];
  for (let index = 0; index < size.entries; index += 1) {
    const storeLink = await startTcpProxy(services.store);
    links.push(storeLink);
    const [requests = 0, readiness = 0, peers = 0, metrics = 0] = await findFreePorts(portsPerEntry);
    const listening = { ...services, requests, readiness, peers, metrics, store: storeLink.port };
    const entryId = `entry-${index + 1}`;
    const ports = { entryId, availabilityZone: `zone-${(index % zoneCount) + 1}`, ...listening };
    const report = (event: SoakHistory["processes"][number]): void => void history.processes.push(event);
    const clock = new EntryClock(folder, entryId);
    if (movesClocks) clocks.push(clock);
    const ownProgram = movesClocks ? await clock.wrap(program) : program;
    const entryOptions = { runtimeArguments, folder, ports, bounds, wire, storeLink, report };
    entries.push(new EntryProcess({ ...entryOptions, program: ownProgram }));
  }
  return { entries, links, clocks };
}

async function closeAll(
  entries: readonly EntryProcess[],
  targets: TargetFleet,
  machines: MachineList,
  engine: StoreEngine,
  services: readonly Pick<RunningService, "close">[],
): Promise<void> {
  await Promise.all(entries.map(async (entry) => entry.kill()));
  machines.close();
  await targets.close();
  await Promise.all(services.map(async (service) => service.close()));
  engine.close();
}

function createMachines(
  { bounds, history }: SessionOptions,
  targets: TargetFleet,
  waves: readonly MaintenanceWave[],
): MachineList {
  const hooks = {
    endTarget: (targetId: string) => void targets.remove(targetId),
    startTarget: async (machine: Machine) => targets.start(machine),
    onOrder: (order: MachineOrder) => {
      history.machines.push({ ...order, from: readClock(), to: undefined });
    },
    onReturn: (machineId: string) => {
      const current = history.machines.find((each) => each.machineId === machineId && each.to === undefined);
      if (current !== undefined) current.to = readClock();
    },
    waves: () => waves,
  };
  return new MachineList(hooks, bounds);
}

function nameRack(machineIndex: number, { targetsPerRack = defaultTargetsPerRack }: SoakSize): string {
  return `rack-${Math.floor(machineIndex / targetsPerRack) + 1}`;
}

function drawMachines(size: SoakSize): Machine[] {
  const { pools, targetsPerPool } = size;
  return Array.from({ length: pools * targetsPerPool }, (_, index) => ({
    machineId: `machine-${index + 1}`,
    pool: `pool-${Math.floor(index / targetsPerPool) + 1}`,
    state: "up" as const,
    availabilityZone: `zone-${(index % zoneCount) + 1}`,
    labels: ["a", nameRack(index, size)],
    capacity: { cpuMillicores: coresPerMachine * 1_000, memoryMegabytes: 65_536, accelerators: 0 },
    targetId: undefined,
  }));
}

function createQueues(size: SoakSize): SoakQueue[] {
  const { pools, targetsPerPool } = size;
  return Array.from({ length: pools }, (_, index) => ({
    queue: `queue-${index + 1}`,
    pool: `pool-${index + 1}`,
    attempts,
    racks: Array.from({ length: targetsPerPool }, (__, target) =>
      nameRack(index * targetsPerPool + target, size),
    ),
  }));
}

function createTable(version: number, queues: readonly SoakQueue[], extraQueues: number): QueueTable {
  const extra = Array.from({ length: extraQueues }, (_, index) => ({
    queue: `extra-${version}-${index}`,
    pool: queues[index % queues.length]?.pool ?? "",
    attempts,
  }));
  return {
    version,
    queues: [...queues, ...extra].map(({ queue, pool }) => ({
      terms: { queue, pool, priority: 0, attempts, slackFactor, objectiveMilliseconds, needsAdvice: false },
      host: soakHost,
      pathPrefix: `/${queue}/`,
      timeoutMilliseconds: 3_000 + version,
    })),
    pools: queues.map(({ pool }) => ({ pool, enforcesCapacity: true, isStandby: false })),
    limits: {
      maximumHeaderBytes: 16_384,
      maximumBodyBytes: 262_144,
      headerTimeoutMilliseconds: 3_000,
      idleTimeoutMilliseconds: 15_000,
    },
  };
}
