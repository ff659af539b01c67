/**
 * Fleet managers on one in-memory store with simulated machines: which entry orders which machine when, over changes of the
 * leader role and lost answers of the store.
 * @packageDocumentation
 */
import { Right } from "purify-ts";
import { afterEach, expect, test } from "vitest";
import {
  entryPrefix,
  leaderRolePrefix,
  membersPrefix,
  openEntrySession,
  SessionLeaderRole,
} from "../../pool-owners/index.js";
import type { PoolReport } from "../../pool-owners/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/index.js";
import type { StoreEngine, StoreFaults } from "../../stand-ins/index.js";
import { followPrefix } from "../../store/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import { FleetManager } from "../fleet-manager.js";
import type { Machine, MaintenanceWave } from "../machine-control.js";

const capacity = { cpuMillicores: 32_000, memoryMegabytes: 1_000, accelerators: 0 };
const leaseMilliseconds = 900;
const orderLeaseMilliseconds = 1_500;
const maintenanceMilliseconds = 400;

interface Order {
  readonly entryId: string;
  readonly machineId: string;
  /** When the order was sent, by the monotonic clock. */
  readonly at: number;
}

/** Simulated machines of a standby pool that a busy pool needs. */
class Machines {
  readonly orders: Order[] = [];
  readonly pools = new Map<string, string>();

  constructor(count: number) {
    for (let index = 0; index < count; index += 1) this.pools.set(`machine-${index}`, "spare");
  }

  list(): Machine[] {
    return [...this.pools].map(([machineId, pool]) => ({
      machineId,
      pool,
      state: this.down.has(machineId) ? "maintenance" : "up",
      availabilityZone: "zone",
      labels: [],
      capacity,
      targetId: pool === "spare" ? undefined : `target-${machineId}`,
    }));
  }

  /** The report of the busy pool, which lacks one machine while `isShort`; the load of all its machines is known. */
  report(): PoolReport {
    const here = this.list().filter(({ pool }) => pool === "busy");
    const cores = here.length * 32;
    const targets = here.map(({ targetId = "" }) => ({
      targetId,
      runs: 1,
      lastingRuns: 1,
      isVacating: false,
      isKnown: true,
    }));
    const demandCores = this.isShort ? cores + 1 : cores;
    return {
      pool: "busy",
      targets,
      backlogCoreSeconds: 0,
      cores,
      busyCores: cores,
      demandCores,
      demandGrowthPerSecond: 0,
      waitingLastingTasks: 0,
      wantedTargets: 0,
    };
  }

  isShort = true;
  /** Machines that are down for maintenance. */
  readonly down = new Set<string>();
  /** Number of maintenance orders by machine. */
  readonly maintained = new Map<string, number>();
  mostDown = 0;

  /** Takes a machine down for the duration of a maintenance. */
  maintain(machineId: string): void {
    this.down.add(machineId);
    this.maintained.set(machineId, (this.maintained.get(machineId) ?? 0) + 1);
    this.mostDown = Math.max(this.mostDown, this.down.size);
    setTimeout(() => this.down.delete(machineId), maintenanceMilliseconds);
  }
}

/** The report of a pool without targets. */
function emptyReport(pool: string): PoolReport {
  return {
    pool,
    targets: [],
    backlogCoreSeconds: 0,
    cores: 0,
    busyCores: 0,
    demandCores: 0,
    demandGrowthPerSecond: 0,
    waitingLastingTasks: 0,
    wantedTargets: 0,
  };
}

interface TestManager {
  readonly leaderRole: SessionLeaderRole;
  readonly faults: StoreFaults;
  /** Log lines written so far. */
  readonly lines: readonly string[];
  crash(): void;
}

let engine: StoreEngine;
const managers: TestManager[] = [];
afterEach(() => {
  for (const manager of managers.splice(0)) manager.crash();
  engine.close();
});

function startManager(entryId: string, machines: Machines, waves: MaintenanceWave[] = []): TestManager {
  const faults = createStoreFaults();
  const store = new MemoryStoreClient(engine, faults);
  const lines: string[] = [];
  const log = createLog("info", (line) => lines.push(line));
  const self = { entryId, incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" };
  const metrics = createMetrics();
  const listedRevision = (): number | undefined =>
    members.records().get(`${entryPrefix}${entryId}`)?.revision;
  const session = openEntrySession({ store, self, listedRevision, log, metrics, leaseMilliseconds });
  const members = followPrefix({
    store,
    prefix: membersPrefix,
    waitMilliseconds: 20,
    pauseMilliseconds: () => 1,
    onChanged: () => undefined,
  });
  const holder = () => members.records().get(`${leaderRolePrefix}fleet`);
  const leaderRole = new SessionLeaderRole({
    name: "fleet",
    entryId,
    store,
    session,
    entries: () => [entryId],
    holder,
    log,
  });
  const manager = new FleetManager({
    entryId,
    leaderRole,
    store,
    machines: {
      list: async () => Promise.resolve(Right(machines.list())),
      maintain: async ({ machineId }) => {
        machines.maintain(machineId);
        return Promise.resolve({ kind: "done" });
      },
      move: async ({ machineId, pool }) => {
        machines.orders.push({ entryId, machineId, at: performance.now() });
        machines.pools.set(machineId, pool);
        return Promise.resolve({ kind: "done" });
      },
    },
    waves: () => waves,
    pools: () => [
      { pool: "busy", isStandby: false },
      { pool: "spare", isStandby: true },
    ],
    vacate: async (pool) => Promise.resolve(pool === "busy" ? machines.report() : emptyReport(pool)),
    waveStatus: { key: (wave) => `status/${wave}`, encode: (_, state) => state },
    orderLeaseMilliseconds,
    ordersPerSecond: 64,
    log,
    metrics,
  });
  void manager.run();
  const crash = (): void => {
    faults.mode = "down";
    manager.close();
    members.close();
    void session.close();
  };
  const started = { leaderRole, faults, lines, crash };
  managers.push(started);
  return started;
}

async function waitFor(isTrue: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 2_000 && !isTrue(); attempt += 1) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(isTrue()).toBe(true);
}

test("a new holder orders unaffected machines at once, and those of its predecessor an order lease after their order", async () => {
  engine = createStoreEngine();
  const machines = new Machines(3);
  const first = startManager("a", machines);
  await waitFor(() => machines.orders.length === 1);
  machines.isShort = false;
  first.crash();
  const ordered = machines.orders[0]?.machineId ?? "";
  // The ordered machine returns to the standby pool, so that only the order lease keeps the next holder from ordering it.
  machines.pools.set(ordered, "spare");
  machines.isShort = true;
  startManager("b", machines);
  await waitFor(() => machines.orders.length === 4);
  const next = machines.orders.slice(1);
  expect(next.map(({ entryId }) => entryId)).toEqual(["b", "b", "b"]);
  expect(next[2]?.machineId).toBe(ordered);
  const between = (next[2]?.at ?? 0) - (machines.orders[0]?.at ?? 0);
  expect(between).toBeGreaterThanOrEqual(orderLeaseMilliseconds);
});

test("an entry acts as leader even if the store's answer to taking the leader role was lost", async () => {
  engine = createStoreEngine();
  const machines = new Machines(1);
  const { faults, leaderRole } = startManager("a", machines);
  await waitFor(() => engine.range(`${membersPrefix}entries/a`).length === 1);
  faults.loseAnswers = 1;
  await waitFor(() => machines.orders.length === 1);
  expect(faults.loseAnswers).toBe(0);
  expect(leaderRole.isHeld()).toBe(true);
});

test("a restarted entry takes the leader role of its former process without waiting for the old lease", async () => {
  engine = createStoreEngine();
  const machines = new Machines(1);
  const leaseId = engine.grantLease(60_000);
  const key = `${leaderRolePrefix}fleet`;
  const value = JSON.stringify({ entryId: "a", leaseId });
  engine.write({ key, value, expectedRevision: 0, leaseId });
  const { leaderRole } = startManager("a", machines);
  await waitFor(() => machines.orders.length === 1);
  expect(leaderRole.isHeld()).toBe(true);
});

test("a wave takes each machine down once and respects its limit across a change of holder", async () => {
  engine = createStoreEngine();
  const machines = new Machines(4);
  machines.isShort = false;
  const machineIds = [...machines.pools.keys()];
  const wave = { wave: 1, machineIds, durationMilliseconds: 10_000, maximumDown: 2 };
  const first = startManager("a", machines, [wave]);
  await waitFor(() => machines.maintained.size >= 2);
  first.crash();
  startManager("b", machines, [wave]);
  await waitFor(() => engine.range("status/1")[0]?.value === JSON.stringify("complete"));
  expect([...machines.maintained.values()]).toEqual([1, 1, 1, 1]);
  expect(machines.mostDown).toBe(2);
  expect(machines.down.size).toBe(0);
});

test("an entry that lost the leader role without noticing sends no order", async () => {
  engine = createStoreEngine();
  const machines = new Machines(3);
  machines.isShort = false;
  const { leaderRole } = startManager("a", machines);
  await waitFor(() => leaderRole.isHeld());
  const [record] = engine.range(`${leaderRolePrefix}fleet`);
  const { value = "", revision = 0 } = record ?? {};
  engine.write({ key: `${leaderRolePrefix}fleet`, value, expectedRevision: revision, leaseId: undefined });
  machines.isShort = true;
  await new Promise((resolve) => setTimeout(resolve, 600));
  expect(machines.orders).toEqual([]);
});

test("log lines of a shortage and of its move contain the cause and the state of the pools", async () => {
  engine = createStoreEngine();
  const machines = new Machines(1);
  const { lines } = startManager("a", machines);
  await waitFor(() => machines.orders.length === 1);
  await waitFor(() => lines.some((line) => line.includes("event=move-order")));
  const moved = lines.find((line) => line.includes("event=move-order"));
  expect(moved).toMatch(
    /from=spare to=busy cause=demand fromDemandCores=0 fromCores=0 toDemandCores=1 toCores=0 /,
  );
  // At the first view of a holder, restedMilliseconds is unknown (infinite) and left out.
  expect(moved).toMatch(/ idleMilliseconds=\d+ result=done$/);
  const short = lines.find((line) => line.includes("event=pool-short"));
  expect(short).toContain("pool=busy cause=demand demandCores=1 cores=0 ");
});
