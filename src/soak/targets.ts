/**
 * The targets of a soak: each runs behind a proxy, is registered in the store by heartbeats, and can crash, drain and
 * restart.
 * @packageDocumentation
 */
import type { Machine } from "../fleet/index.js";
import { delay, hashText } from "../shared/index.js";
import {
  JobTarget,
  startTcpProxy,
  type JobTargetWorld,
  type StoreEngine,
  type StoreFaults,
  type TaskBehaviour,
  type TcpProxy,
} from "../stand-ins/index.js";
import type { SoakBounds } from "./bounds.js";
import { readClock } from "./clock.js";
import type { SoakHistory } from "./history.js";
import type { JobKind } from "./job-plan.js";
import { putRecord, removeRecord } from "./records.js";
import type { CutKind, PlannedRestart } from "./restart-plan.js";
import type { RunningService, SoakWire, TargetFaults } from "./wire.js";

/** One target with its service, proxy and heartbeat state. */
export interface TargetHost {
  readonly target: JobTarget;
  readonly targetId: string;
  readonly machine: Machine;
  readonly link: TcpProxy;
  readonly faults: TargetFaults;
  readonly service: RunningService;
  isUp: boolean;
  /** Whether its heartbeats don't reach the store. */
  isCutOff: boolean;
  /** When the target will be removed; undefined unless it drains. */
  leavesAt: number | undefined;
  heartbeats: number;
  lastHeartbeatAt: number;
}

/** Dependencies of the targets. */
export interface TargetFleetOptions {
  readonly wire: SoakWire;
  readonly engine: StoreEngine;
  readonly storeFaults: StoreFaults;
  readonly bounds: SoakBounds;
  readonly history: SoakHistory;
}

const advanceMilliseconds = 5;
const heartbeatCheckMilliseconds = 100;
const missedHeartbeats = 3;
const percent = 100;
const slowestRunPercent = 60;
const runPercentRange = 80;
/** Tasks of these jobs run for exactly their estimate. */
const exactKind: JobKind = "mixed";

/** Starts and ends targets and sends their heartbeats. */
export class TargetFleet {
  readonly #options: TargetFleetOptions;
  readonly #hosts = new Map<string, TargetHost>();
  readonly #timers: NodeJS.Timeout[];
  readonly #world: JobTargetWorld;
  #nextNumber = 1;

  /**
   * Creates a fleet without targets and starts its timers.
   * @param options - store, wire and history, which all targets share
   */
  constructor(options: TargetFleetOptions) {
    this.#options = options;
    const { history, bounds } = options;
    this.#world = {
      now: readClock,
      behaviour: (task) => findBehaviour(history, task),
      longestLeaseMilliseconds: bounds.longestRunLeaseMilliseconds,
      history: history.runs,
      lapses: [],
    };
    this.#timers = [
      setInterval(() => {
        for (const { target, isUp } of this.#hosts.values()) if (isUp) target.advance();
      }, advanceMilliseconds),
      setInterval(() => {
        for (const host of this.#hosts.values()) this.#maintainRegistration(host);
      }, heartbeatCheckMilliseconds),
    ];
  }

  /** Returns all targets that are up. */
  up(): TargetHost[] {
    return [...this.#hosts.values()].filter(({ isUp }) => isUp);
  }

  /** Starts a target on a machine and returns its identifier. */
  async start(machine: Machine): Promise<string> {
    const targetId = `target-${this.#nextNumber}`;
    this.#nextNumber += 1;
    const faults: TargetFaults = {
      lateMilliseconds: 0,
      onLate: (task, run) => this.#options.history.lateRuns.add(`${task}#${run}`),
    };
    let address = "";
    const target = new JobTarget(this.#world, {
      targetId,
      get address() {
        return address;
      },
      pool: machine.pool,
      availabilityZone: machine.availabilityZone,
      capacity: machine.capacity,
      rack: machine.labels[1],
      labels: machine.labels,
      remainingMilliseconds: undefined,
    });
    const service = await this.#options.wire.serveTarget(target, faults);
    const link = await startTcpProxy(service.port);
    address = `127.0.0.1:${link.port}`;
    const host = { target, targetId, machine, link, faults, service };
    const registered: TargetHost = {
      ...host,
      isUp: true,
      isCutOff: false,
      leavesAt: undefined,
      heartbeats: 0,
      lastHeartbeatAt: 0,
    };
    this.#hosts.set(targetId, registered);
    this.#maintainRegistration(registered);
    return targetId;
  }

  /** Crashes a target, refuses connections for a number of milliseconds, and restarts it under the same identifier. */
  async restart(host: TargetHost, silentMilliseconds: number): Promise<void> {
    host.isUp = false;
    host.target.crash();
    host.link.setState("refusing");
    await delay(silentMilliseconds);
    if (!this.#hosts.has(host.targetId)) return;
    host.target.restart();
    host.link.setState("open");
    host.isUp = true;
    this.#sendHeartbeat(host);
  }

  /**
   * Crashes a target and restarts it under the same identifier; the registration names the former process until the first
   * heartbeat of the new one.
   * @param host - the target
   * @param restart - how long it is away, and what becomes of calls meanwhile
   */
  async restartUnannounced(host: TargetHost, restart: PlannedRestart): Promise<void> {
    const release = restart.dark === "held" ? hold(host.faults, "heldCalls") : undefined;
    await delay(restart.heldMilliseconds);
    host.isUp = false;
    host.faults.isDown = true;
    host.target.crash();
    if (restart.dark === "refused") host.link.setState("refusing");
    if (restart.dark === "silent") host.link.setState("silent");
    await delay(restart.darkMilliseconds);
    if (this.#hosts.has(host.targetId)) this.#startNextProcess(host, restart.heartbeatAfter);
    release?.();
  }

  #startNextProcess(host: TargetHost, heartbeatAfter: number): void {
    host.target.restart();
    host.faults.isDown = false;
    host.link.setState("open");
    host.isUp = true;
    host.lastHeartbeatAt = readClock() + heartbeatAfter - this.#options.bounds.heartbeatMilliseconds;
  }

  /**
   * Cuts a target off from entries and from the store for a time, in which it goes on working.
   * @param host - the target
   * @param kind - the direction of the cut
   * @param milliseconds - the length of the cut
   */
  async cutOff(host: TargetHost, kind: CutKind, milliseconds: number): Promise<void> {
    host.isCutOff = true;
    const releaseCalls = kind === "held" ? hold(host.faults, "heldCalls") : undefined;
    const holdsAnswers = kind === "held" || kind === "held-answers";
    const releaseAnswers = holdsAnswers ? hold(host.faults, "heldAnswers") : undefined;
    if (kind === "silent" || kind === "no-answers") host.link.setState(kind);
    await delay(milliseconds);
    host.link.setState("open");
    releaseCalls?.();
    releaseAnswers?.();
    host.isCutOff = false;
  }

  /** Ends a target; its registration stays until enough heartbeats are missed. */
  async crash(targetId: string): Promise<void> {
    const host = this.#hosts.get(targetId);
    if (host === undefined) return;
    host.isUp = false;
    host.target.crash();
    await Promise.all([host.link.close(), host.service.close()]);
  }

  /** Ends a target and removes its registration at once. */
  async remove(targetId: string): Promise<void> {
    const host = this.#hosts.get(targetId);
    if (host === undefined) return;
    this.#hosts.delete(targetId);
    host.isUp = false;
    host.target.crash();
    this.#unregister(host);
    await Promise.all([host.link.close(), host.service.close()]);
  }

  /** Marks a target as draining and removes it after the drain period. */
  async drain(host: TargetHost): Promise<void> {
    const { history, bounds } = this.#options;
    host.target.drain();
    host.leavesAt = readClock() + bounds.drainMilliseconds;
    this.#sendHeartbeat(host);
    history.drains.push({ targetId: host.targetId, at: readClock() });
    await delay(bounds.drainMilliseconds);
    await this.remove(host.targetId);
  }

  /** Ends all targets. */
  async close(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    await Promise.all([...this.#hosts.keys()].map(async (targetId) => this.remove(targetId)));
  }

  #maintainRegistration(host: TargetHost): void {
    const { bounds, storeFaults } = this.#options;
    const heartbeatAge = readClock() - host.lastHeartbeatAt;
    const canRegister = host.isUp && !host.isCutOff && storeFaults.mode === "up";
    if (canRegister && heartbeatAge >= bounds.heartbeatMilliseconds) this.#sendHeartbeat(host);
    else if (heartbeatAge > missedHeartbeats * bounds.heartbeatMilliseconds) {
      this.#unregister(host);
      if (!host.isUp) this.#hosts.delete(host.targetId);
    }
  }

  #sendHeartbeat(host: TargetHost): void {
    if (this.#options.storeFaults.mode !== "up") return;
    host.heartbeats += 1;
    host.lastHeartbeatAt = readClock();
    const { leavesAt } = host;
    const left = leavesAt === undefined ? undefined : Math.max(0, Math.round(leavesAt - readClock()));
    const described = { ...host.target.describe(), remainingMilliseconds: left };
    const record = this.#options.wire.encodeTarget(described, host.heartbeats);
    putRecord(this.#options.engine, record);
  }

  #unregister(host: TargetHost): void {
    const { key } = this.#options.wire.encodeTarget(host.target.describe(), 0);
    removeRecord(this.#options.engine, key);
  }
}

/** Lets calls or responses wait until the returned function is called. */
function hold(faults: TargetFaults, what: "heldCalls" | "heldAnswers"): () => void {
  let release = (): void => undefined;
  faults[what] = new Promise((resolve) => {
    release = resolve;
  });
  return () => {
    faults[what] = undefined;
    release();
  };
}

/** Derives the behaviour of a task from its job; the hash of the task's name varies its run time. */
function findBehaviour({ jobs, runs }: SoakHistory, task: string): TaskBehaviour {
  const [jobId = "", , step = "0"] = task.split(".");
  const definition = jobs.get(jobId)?.definition;
  const found = definition?.steps[Number(step)];
  const needs = found?.resources ?? { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
  const isExact = definition?.spec.startsWith(exactKind) === true;
  const scale = isExact ? 1 : (slowestRunPercent + (hashText(task) % runPercentRange)) / percent;
  const earlierRuns = (): number => runs.filter((run) => run.task === task).length;
  const isPoison = definition?.spec.startsWith("poison") === true;
  return {
    needs,
    runMilliseconds: (found?.estimateMilliseconds ?? 0) * scale,
    isLasting: found?.isLasting ?? false,
    fails: isPoison || (definition?.spec.startsWith("flaky") === true && earlierRuns() === 0),
  };
}
