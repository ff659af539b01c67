/**
 * Plans of maintenance waves and moves for fleets of a few machines.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import type { PoolReport } from "../../pool-owners/index.js";
import {
  describeArrivals,
  describeCandidates,
  describePools,
  MachineHistory,
  type FleetView,
} from "../fleet-view.js";
import type { Machine } from "../machine-control.js";
import { planMoves, type PlannedMachine, type PlannedPool } from "../move-plan.js";
import { planWaveStep, type WaveCandidate } from "../wave-plan.js";

const candidate = (machineId: string, changes: Partial<WaveCandidate> = {}): WaveCandidate => ({
  machineId,
  targetId: `target-${machineId}`,
  pool: "presses",
  runs: 0,
  lastingRuns: 0,
  isVacating: false,
  poolMachines: 8,
  poolBacklogMilliseconds: 0,
  ...changes,
});

test("a wave empties no more machines than may be down, and takes down only empty ones", () => {
  const candidates = [
    candidate("busy", { runs: 9 }),
    candidate("empty", { isVacating: true }),
    candidate("lasting", { runs: 2, lastingRuns: 2 }),
    candidate("idle"),
  ];
  const step = planWaveStep(candidates, { freeSlots: 2, elapsedShare: 0, doneShare: 0 });
  expect(step.maintain.map(({ machineId }) => machineId)).toEqual(["empty"]);
  expect(step.vacate.map(({ machineId }) => machineId)).toEqual(["idle"]);
});

test("a wave never empties all machines of a pool at once", () => {
  const candidates = [
    candidate("first", { poolMachines: 2 }),
    candidate("second", { poolMachines: 2, isVacating: true }),
    candidate("other", { pool: "mills", poolMachines: 1, runs: 3, poolBacklogMilliseconds: 100 }),
    candidate("off", { pool: "spare", poolMachines: Infinity, targetId: undefined }),
  ];
  const step = planWaveStep(candidates, { freeSlots: 4, elapsedShare: 1, doneShare: 0 });
  const chosen = [...step.maintain, ...step.vacate].map(({ machineId }) => machineId);
  expect(chosen.sort()).toEqual(["off", "other", "second"]);
});

test("a wave spares machines of a busy pool until it is behind schedule", () => {
  const candidates = [candidate("busy", { runs: 3, poolBacklogMilliseconds: 2_000 })];
  const early = planWaveStep(candidates, { freeSlots: 1, elapsedShare: 0.1, doneShare: 0.1 });
  const late = planWaveStep(candidates, { freeSlots: 1, elapsedShare: 0.5, doneShare: 0.1 });
  expect(early.vacate).toEqual([]);
  expect(late.vacate).toHaveLength(1);
});

test("a nearly complete wave starts to empty busy machines before its time runs out", () => {
  const candidates = [candidate("busy", { runs: 3, lastingRuns: 1, poolBacklogMilliseconds: 2_000 })];
  const step = planWaveStep(candidates, { freeSlots: 1, elapsedShare: 0.5, doneShare: 0.95 });
  expect(step.vacate).toHaveLength(1);
});

test("a machine is neither taken down nor moved while its load is unknown to the pool's owner", () => {
  const machine: Machine = {
    machineId: "machine",
    pool: "presses",
    state: "up",
    availabilityZone: "zone",
    labels: [],
    capacity: { cpuMillicores: 32_000, memoryMegabytes: 1_000, accelerators: 0 },
    targetId: "target",
  };
  const load = { targetId: "target", runs: 0, lastingRuns: 0, isVacating: true };
  const view = (isKnown: boolean): FleetView => ({
    machines: new Map([["machine", machine]]),
    reports: new Map([["presses", createReport({ targets: [{ ...load, isKnown }] })]]),
    standbyPools: new Set(),
  });
  expect(describeCandidates(view(false), ["machine"])).toEqual([]);
  expect(describeCandidates(view(true), ["machine"])).toHaveLength(1);
  const isMovable = (isKnown: boolean): boolean =>
    describePools(view(isKnown), new MachineHistory(), new Set())[0]?.machines.length === 1;
  expect([isMovable(false), isMovable(true)]).toEqual([false, true]);
});

function createReport(changes: Partial<PoolReport>): PoolReport {
  return {
    pool: "presses",
    targets: [],
    backlogCoreSeconds: 0,
    cores: 32,
    busyCores: 0,
    demandCores: 0,
    demandGrowthPerSecond: 0,
    waitingLastingTasks: 0,
    wantedTargets: 0,
    ...changes,
  };
}

const machines = (count: number, changes: Partial<PlannedMachine> = {}): PlannedMachine[] =>
  Array.from({ length: count }, (_, index) => ({
    machineId: `machine-${index}`,
    targetId: `target-${index}`,
    cores: 32,
    runs: 0,
    lastingRuns: 0,
    isVacating: false,
    restedMilliseconds: 60_000,
    idleMilliseconds: 60_000,
    ...changes,
  }));

const plannedPool = (name: string, changes: Partial<PlannedPool> = {}): PlannedPool => ({
  pool: name,
  isStandby: false,
  cores: 192,
  demandCores: 0,
  waitingLastingTasks: 0,
  wantedMachines: 0,
  comingMachines: 0,
  machines: [],
  ...changes,
});

test("a pool with a load surge gets machines of the standby pool, and no more than it lacks", () => {
  const pools = [
    plannedPool("busy", { demandCores: 260, machines: machines(6, { runs: 8, idleMilliseconds: 0 }) }),
    plannedPool("rest", { machines: machines(6, { lastingRuns: 1, runs: 1, idleMilliseconds: 0 }) }),
    plannedPool("spare", { isStandby: true, cores: 0, machines: machines(6, { targetId: undefined }) }),
  ];
  const { moves } = planMoves(pools);
  expect(moves.map(({ from, to }) => `${from}-${to}`)).toEqual(["spare-busy", "spare-busy", "spare-busy"]);
});

test("a pool with a load surge gets idle machines of another pool before machines that are switched off", () => {
  const pools = [
    plannedPool("busy", { demandCores: 260, machines: machines(6, { runs: 8, idleMilliseconds: 0 }) }),
    plannedPool("over", { demandCores: 0, machines: machines(6, { idleMilliseconds: 1_500 }) }),
    plannedPool("spare", { isStandby: true, cores: 0, machines: machines(6, { targetId: undefined }) }),
  ];
  const { moves, vacate } = planMoves(pools);
  const toBusy = [...moves, ...vacate].filter(({ to }) => to === "busy");
  expect(toBusy.map(({ from }) => from)).toEqual(["over", "over", "over"]);
});

test("machines with long-running tasks and machines of a pool with waiting long-running tasks do not move", () => {
  const pools = [
    plannedPool("busy", { demandCores: 900, machines: machines(6, { runs: 8, idleMilliseconds: 0 }) }),
    plannedPool("lasting", { machines: machines(6, { lastingRuns: 1, runs: 1 }) }),
    plannedPool("waiting", { waitingLastingTasks: 1, machines: machines(6) }),
  ];
  const plan = planMoves(pools);
  expect([...plan.moves, ...plan.vacate].filter(({ from }) => from !== "busy")).toEqual([]);
});

test("the last spare machine goes to a pool with a waiting long-running task, not to a pool with a load surge", () => {
  const pools = [
    plannedPool("turn", { demandCores: 2_000, machines: machines(6, { runs: 8, idleMilliseconds: 0 }) }),
    plannedPool("lasting", { waitingLastingTasks: 1, machines: machines(2, { lastingRuns: 1, runs: 1 }) }),
    plannedPool("spare", { isStandby: true, cores: 0, machines: machines(1, { targetId: undefined }) }),
  ];
  const plan = planMoves(pools);
  expect(plan.moves.map(({ to }) => to)).toEqual(["lasting"]);
  expect(plan.shortages.map(({ pool, machines: given }) => `${pool} ${given}`)).toEqual([
    "lasting 1",
    "turn 0",
  ]);
});

test("machines of the first view may move at once, and machines that appear later have to stay first", () => {
  const machine = (machineId: string): Machine => ({
    machineId,
    pool: "presses",
    state: "up",
    availabilityZone: "zone",
    labels: [],
    capacity: { cpuMillicores: 32_000, memoryMegabytes: 1_000, accelerators: 0 },
    targetId: `target-${machineId}`,
  });
  const createView = (...machineIds: string[]): FleetView => ({
    machines: new Map(machineIds.map((machineId) => [machineId, machine(machineId)])),
    reports: new Map([["presses", createReport({})]]),
    standbyPools: new Set(),
  });
  const history = new MachineHistory();
  history.record(createView("found"));
  history.record(createView("found", "later"));
  expect(history.restedMilliseconds("found")).toBe(Infinity);
  expect(history.restedMilliseconds("later")).not.toBe(Infinity);
});

test("a machine that is moving counts as arriving, and one that is down does not", () => {
  const base = { pool: "presses", availabilityZone: "zone", labels: [] };
  const capacity = { cpuMillicores: 32_000, memoryMegabytes: 1_000, accelerators: 0 };
  const list: Machine[] = [
    { ...base, machineId: "down", state: "down", capacity, targetId: undefined },
    { ...base, machineId: "moving", state: "moving", capacity, targetId: undefined },
  ];
  const view: FleetView = {
    machines: new Map(list.map((machine) => [machine.machineId, machine])),
    reports: new Map([["presses", createReport({ cores: 0 })]]),
    standbyPools: new Set(),
  };
  const history = new MachineHistory();
  history.record(view);
  expect(describePools(view, history, new Set())[0]?.cores).toBe(32);
  const arrivals =
    describeArrivals(view, history, [{ machineId: "down", pool: "other" }]).get("presses") ?? [];
  // The moving machine arrives before the one that another pool could give.
  expect(arrivals.map(({ resources }) => resources.cpuMillicores)).toEqual([32_000, 32_000]);
  expect(arrivals[0]?.atMilliseconds).toBeLessThan(arrivals[1]?.atMilliseconds ?? 0);
});

test("waiting long-running tasks get one machine, and no other while it is on its way", () => {
  const spare = plannedPool("spare", {
    isStandby: true,
    cores: 0,
    machines: machines(6, { targetId: undefined }),
  });
  const waiting = { waitingLastingTasks: 3, machines: machines(2, { lastingRuns: 1, runs: 1 }) };
  expect(planMoves([plannedPool("lasting", waiting), spare]).moves).toHaveLength(1);
  expect(planMoves([plannedPool("lasting", { ...waiting, comingMachines: 1 }), spare]).moves).toEqual([]);
});

test("long-running tasks that need several machines get all of them at once, less those on their way", () => {
  const spare = plannedPool("spare", {
    isStandby: true,
    cores: 0,
    machines: machines(30, { targetId: undefined }),
  });
  const waiting = {
    waitingLastingTasks: 24,
    wantedMachines: 18,
    machines: machines(2, { lastingRuns: 1, runs: 1 }),
  };
  expect(planMoves([plannedPool("lasting", waiting), spare]).moves).toHaveLength(18);
  expect(planMoves([plannedPool("lasting", { ...waiting, comingMachines: 12 }), spare]).moves).toHaveLength(
    6,
  );
});

test("a waiting long-running task gets a machine even from a pool that lacks capacity itself", () => {
  const pools = [
    plannedPool("turn", { demandCores: 2_000, machines: machines(6, { runs: 8, idleMilliseconds: 0 }) }),
    plannedPool("lasting", { waitingLastingTasks: 1, machines: machines(2, { lastingRuns: 1, runs: 1 }) }),
  ];
  const plan = planMoves(pools);
  expect(plan.vacate.map(({ from, to }) => `${from}-${to}`)).toEqual(["turn-lasting"]);
});

test("idle machines move to the standby pool, and a pool keeps its minimum", () => {
  const pools = [
    plannedPool("rest", { machines: machines(6) }),
    plannedPool("spare", { isStandby: true, cores: 0 }),
  ];
  const plan = planMoves(pools);
  expect(plan.moves).toEqual([]);
  expect(plan.vacate).toHaveLength(4);
});

test("a planned move contains its cause and the state on which it was decided", () => {
  const busy = plannedPool("busy", {
    demandCores: 200,
    machines: machines(6, { runs: 8, idleMilliseconds: 0 }),
  });
  const spare = plannedPool("spare", {
    isStandby: true,
    cores: 0,
    machines: machines(1, { targetId: undefined, restedMilliseconds: 9_000, idleMilliseconds: 800 }),
  });
  const [demanded] = planMoves([busy, spare]).moves;
  expect(demanded?.cause).toBe("demand");
  expect(demanded?.seen).toEqual({
    fromDemandCores: 0,
    fromCores: 0,
    toDemandCores: 200,
    toCores: 192,
    restedMilliseconds: 9_000,
    idleMilliseconds: 800,
  });
  const waiting = plannedPool("waiting", { waitingLastingTasks: 1 });
  const longRunning = planMoves([waiting, spare]);
  expect(longRunning.moves[0]?.cause).toBe("lasting-tasks");
  expect(longRunning.shortages[0]?.cause).toBe("lasting-tasks");
  expect(planMoves([waiting, busy]).vacate[0]?.cause).toBe("lasting-tasks-anyway");
  const idle = plannedPool("idle", { machines: machines(6) });
  expect(planMoves([idle, spare]).vacate[0]?.cause).toBe("standby");
  expect(planMoves([busy]).shortages[0]?.cause).toBe("demand");
});

test("pools that lack capacity at the same time share the announced spare machines", () => {
  const capacity = { cpuMillicores: 32_000, memoryMegabytes: 1_000, accelerators: 0 };
  const base = { state: "up", availabilityZone: "zone", labels: [], capacity, targetId: undefined } as const;
  const spare = Array.from({ length: 8 }, (_, index) => ({ machineId: `off-${index}`, pool: "spare" }));
  const view: FleetView = {
    machines: new Map(spare.map((each) => [each.machineId, { ...base, ...each }])),
    reports: new Map(["presses", "mills"].map((pool) => [pool, createReport({ pool })])),
    standbyPools: new Set(["spare"]),
  };
  const promised = (lacks: Record<string, number>): number[] => {
    const shortages = Object.entries(lacks).map(([pool, lackCores]) => ({ pool, lackCores }));
    const arrivals = describeArrivals(view, new MachineHistory(), spare, shortages);
    return ["presses", "mills"].map(
      (pool) => (arrivals.get(pool)?.[0]?.resources.cpuMillicores ?? 0) / capacity.cpuMillicores,
    );
  };
  expect(promised({})).toEqual([8, 8]);
  expect(promised({ presses: 10_000 })).toEqual([8, 0]);
  expect(promised({ presses: 10_000, mills: 30_000 })).toEqual([2, 6]);
  expect(promised({ presses: 64 })).toEqual([8, 6]);
});
