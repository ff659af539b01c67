/**
 * Simulation of a fleet of two pools and a standby pool under a load surge, without a network and with a simulated clock: the
 * demand forecast, the admission of jobs and the plan of moves are the real ones, runs only take cores and time.
 * @packageDocumentation
 */
import { vi } from "vitest";
import type { PoolReport } from "../../pool-owners/index.js";
import {
  admitJob,
  createDemandForecast,
  forecastEnd,
  planRoom,
  reserveJob,
  type ForecastJob,
  type RoomArrival,
  type RoomPlan,
} from "../../scheduling/index.js";
import { createRandom, type Random } from "../../shared/index.js";
import { describeArrivals, describePools, MachineHistory, type FleetView } from "../fleet-view.js";
import type { Machine } from "../machine-control.js";
import { planMoves } from "../move-plan.js";

/** The simulated load. */
export interface FleetLoad {
  readonly seed: number;
  readonly milliseconds: number;
  /** Jobs that callers submit in a second, by the time since the start in milliseconds. */
  readonly jobsPerSecond: (milliseconds: number) => number;
  /** Mean number of cores that a job's tasks use together. */
  readonly jobCores: number;
}

/** What callers and the operator got. */
export interface FleetOutcome {
  readonly submitted: number;
  /** Jobs that ended within their objective, counted from their first submission. */
  readonly inTime: number;
  /** Seconds that machines were in pools other than the standby pool. */
  readonly machineSeconds: number;
  readonly moves: number;
}

const machineCores = 64;
const machineCount = 40;
const firstMachines = 2;
const moveMilliseconds = 1_700;
const planMilliseconds = 250;
const stepMilliseconds = 10;
const runMilliseconds = 800;
const objectiveMilliseconds = 1.6 * runMilliseconds + 600;
const patienceMilliseconds = 3_000;
const retryMilliseconds = 700;
const catchUpSeconds = 1.5;
const horizonMilliseconds = 10_000;
const busyPool = "presses";
const standbyPool = "spare";

/** A caller whose job is not accepted. */
interface SimulatedCaller {
  readonly cores: number;
  readonly firstAt: number;
  submitAt: number;
}

interface SimulatedMachine {
  pool: string;
  arrivesAt: number;
}

/** An accepted job that has not started. */
interface WaitingJob {
  readonly cores: number;
  readonly firstAt: number;
}

/**
 * Simulates the load.
 * @param load - the load of the pool; all other pools are idle
 * @returns what its callers got
 */
export function simulateFleet(load: FleetLoad): FleetOutcome {
  let now = 1_000_000;
  const clock = vi.spyOn(performance, "now").mockImplementation(() => now);
  try {
    return new FleetSimulation(load, now).run((at) => (now = at));
  } finally {
    clock.mockRestore();
  }
}

class FleetSimulation {
  readonly #random: Random;
  readonly #demand = createDemandForecast();
  readonly #history = new MachineHistory();
  readonly #machines = new Map<string, SimulatedMachine>();
  readonly #running: { readonly cores: number; readonly endsAt: number }[] = [];
  #waiting: WaitingJob[] = [];
  #callers: SimulatedCaller[] = [];
  #arrivals: readonly RoomArrival[] = [];
  #room: { readonly plan: RoomPlan; readonly plannedAt: number } | undefined;
  #submitted = 0;
  #inTime = 0;
  #machineSeconds = 0;
  #moves = 0;

  constructor(
    private readonly load: FleetLoad,
    private now: number,
  ) {
    this.#random = createRandom(load.seed);
    for (let index = 0; index < machineCount; index += 1) {
      const pool = index < firstMachines ? busyPool : standbyPool;
      this.#machines.set(`machine-${index}`, { pool, arrivesAt: 0 });
    }
  }

  run(setClock: (now: number) => void): FleetOutcome {
    const from = this.now;
    for (let elapsed = 0; elapsed < this.load.milliseconds; elapsed += stepMilliseconds) {
      this.now = from + elapsed;
      setClock(this.now);
      if (this.#random.integer(0, 999_999) < this.load.jobsPerSecond(elapsed) * stepMilliseconds * 1_000)
        this.#addCaller();
      if (elapsed % planMilliseconds === 0) this.#plan();
      this.#endRuns();
      this.#submitDue();
      this.#startWaiting();
      this.#machineSeconds += (this.#countMachines() * stepMilliseconds) / 1_000;
    }
    return {
      submitted: this.#submitted,
      inTime: this.#inTime,
      machineSeconds: this.#machineSeconds,
      moves: this.#moves,
    };
  }

  #addCaller(): void {
    const cores = this.load.jobCores * (0.4 + (1.2 * this.#random.integer(0, 1_000)) / 1_000);
    this.#submitted += 1;
    this.#callers.push({ cores, firstAt: this.now, submitAt: this.now });
    this.#demand.note((cores * runMilliseconds) / 1_000, this.now);
  }

  /** Cores that serve now. */
  #readCores(): number {
    const serving = [...this.#machines.values()].filter(
      ({ pool, arrivesAt }) => pool === busyPool && arrivesAt <= this.now,
    );
    return serving.length * machineCores;
  }

  #countMachines(): number {
    return [...this.#machines.values()].filter(({ pool }) => pool === busyPool).length;
  }

  #sumRunning(): number {
    return this.#running.reduce((sum, { cores }) => sum + cores, 0);
  }

  #endRuns(): void {
    const running = this.#running.splice(0);
    this.#running.push(...running.filter(({ endsAt }) => endsAt > this.now));
  }

  #startWaiting(): void {
    let free = this.#readCores() - this.#sumRunning();
    this.#waiting = this.#waiting.filter(({ cores, firstAt }) => {
      if (cores > free) return true;
      free -= cores;
      const endsAt = this.now + runMilliseconds;
      this.#running.push({ cores, endsAt });
      if (endsAt - firstAt <= objectiveMilliseconds) this.#inTime += 1;
      return false;
    });
  }

  #submitDue(): void {
    const due = this.#callers.filter(({ submitAt }) => submitAt <= this.now);
    this.#callers = this.#callers.filter(({ submitAt }) => submitAt > this.now);
    for (const caller of due) {
      if (this.#admit(caller)) this.#waiting.push(caller);
      else if (this.now + retryMilliseconds - caller.firstAt < patienceMilliseconds)
        this.#callers.push({ ...caller, submitAt: this.now + retryMilliseconds });
    }
  }

  #admit({ cores, firstAt }: SimulatedCaller): boolean {
    const job = describeJob([{ cores, runs: [] }]);
    const { plan, plannedAt } = this.#readRoom();
    const age = this.now - plannedAt;
    const endMilliseconds = forecastEnd(plan, job, horizonMilliseconds, age);
    const left = objectiveMilliseconds - (this.now - firstAt);
    const admission = admitJob({
      endMilliseconds,
      objectiveMilliseconds: left,
      latestMilliseconds: left + 2 * objectiveMilliseconds,
      startsNow: endMilliseconds <= runMilliseconds + 100,
    });
    if (admission.kind === "refuse") return false;
    this.#room = { plan: reserveJob(plan, job, horizonMilliseconds, age), plannedAt };
    return true;
  }

  #readRoom(): { readonly plan: RoomPlan; readonly plannedAt: number } {
    if (this.#room !== undefined && this.now - this.#room.plannedAt < 100) return this.#room;
    const running = this.#running.map(({ cores, endsAt }) => ({ cores, runs: [endsAt - this.now] }));
    const jobs = [...running, ...this.#waiting.map(({ cores }) => ({ cores, runs: [] }))].map((each) =>
      describeJob([each]),
    );
    const capacity = toResources(this.#readCores());
    const plan = planRoom(jobs, capacity, horizonMilliseconds, this.#arrivals);
    this.#room = { plan, plannedAt: this.now };
    return this.#room;
  }

  #plan(): void {
    const view = this.#describeView();
    this.#history.record(view);
    const plan = planMoves(describePools(view, this.#history, new Set()));
    this.#arrivals = describeArrivals(view, this.#history, plan.spare, plan.shortages).get(busyPool) ?? [];
    this.#room = undefined;
    // Emptied at once, since the load is not placed on single machines.
    for (const { machineId, to } of [...plan.moves, ...plan.vacate]) {
      const arrivesAt = to === standbyPool ? 0 : this.now + moveMilliseconds;
      this.#machines.set(machineId, { pool: to, arrivesAt });
      this.#moves += 1;
    }
  }

  #describeView(): FleetView {
    const machines = [...this.#machines].map(([machineId, { pool, arrivesAt }]): [string, Machine] => [
      machineId,
      {
        machineId,
        pool,
        state: arrivesAt > this.now ? "moving" : "up",
        availabilityZone: "zone",
        labels: [],
        capacity: toResources(machineCores),
        targetId: pool === standbyPool ? undefined : `target-${machineId}`,
      },
    ]);
    return {
      machines: new Map(machines),
      reports: new Map([[busyPool, this.#report(machines.map(([, machine]) => machine))]]),
      standbyPools: new Set([standbyPool]),
    };
  }

  #report(machines: readonly Machine[]): PoolReport {
    const cores = this.#readCores();
    const busyCores = this.#sumRunning();
    const waitingCores = this.#waiting.reduce((sum, each) => sum + each.cores, 0);
    const waitingSeconds = (waitingCores * runMilliseconds) / 1_000;
    const serving = machines.filter(({ pool, state }) => pool === busyPool && state === "up");
    let left = busyCores;
    return {
      pool: busyPool,
      targets: serving.map(({ targetId = "" }) => {
        const runs = left > 0 ? 1 : 0;
        left -= machineCores;
        return { targetId, runs, lastingRuns: 0, isVacating: true, isKnown: true };
      }),
      backlogCoreSeconds: waitingSeconds,
      cores,
      busyCores,
      demandCores: Math.max(this.#demand.read(this.now), busyCores) + waitingSeconds / catchUpSeconds,
      demandGrowthPerSecond: this.#demand.readGrowth(this.now),
      waitingLastingTasks: 0,
      wantedTargets: 0,
    };
  }
}

function toResources(cores: number): {
  cpuMillicores: number;
  memoryMegabytes: number;
  accelerators: number;
} {
  return { cpuMillicores: cores * 1_000, memoryMegabytes: cores * 1_000, accelerators: 0 };
}

function describeJob(
  steps: readonly { readonly cores: number; readonly runs: readonly number[] }[],
): ForecastJob {
  return {
    steps: steps.map(({ cores, runs }) => ({
      waiting: runs.length === 0 ? 1 : 0,
      running: runs,
      needs: toResources(cores),
      runMilliseconds,
      after: [],
    })),
  };
}
