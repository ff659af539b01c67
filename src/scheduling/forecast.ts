/**
 * Forecasts when a job would end on a busy pool. Answers a turn of demand in which a pool is asked for several times what
 * it can do: jobs that can be in time are taken although others wait, since work that waits for earlier steps leaves
 * room, and jobs that cannot are refused at once.
 * @packageDocumentation
 */
import type { Resources } from "../jobs/index.js";
import { add, subtract } from "./target-view.js";

/** Like tasks of one step, as the forecast sees them. */
export interface ForecastStep {
  /** Tasks that have not been started. */
  readonly waiting: number;
  /** How long each task that runs still takes, in milliseconds. */
  readonly running: readonly number[];
  readonly needs: Resources;
  readonly runMilliseconds: number;
  /** Positions of the steps that must end first. */
  readonly after: readonly number[];
}

/** A job, or one occurrence of one. */
export interface ForecastJob {
  readonly steps: readonly ForecastStep[];
}

/** Room that comes later. */
export interface RoomArrival {
  readonly resources: Resources;
  /** When it comes, from now. */
  readonly atMilliseconds: number;
}

interface OpenStep {
  readonly definition: ForecastStep;
  readonly job: OpenJob;
  waiting: number;
  /** Tasks that have not ended. */
  left: number;
}

interface OpenJob {
  readonly steps: OpenStep[];
  left: number;
}

/** Room that becomes free, by the end of tasks or because it comes. */
interface Release {
  readonly at: number;
  readonly resources: Resources;
  /** Tasks that end with it. */
  readonly ended: { readonly step: OpenStep; readonly count: number } | undefined;
}

/** Targets are never full to the last core: tasks do not divide their room evenly. */
const usableShare = 0.9;

/**
 * Forecasts the end of a job.
 * @param jobs - all open jobs in the order in which they get room, the asked one last
 * @param capacity - the room of all targets together, that of lasting tasks not counted
 * @param horizonMilliseconds - how far the forecast looks
 * @param arrivals - room that comes later
 * @returns milliseconds until the last job ends; infinite beyond the horizon
 */
export function forecastEnd(
  jobs: readonly ForecastJob[],
  capacity: Resources,
  horizonMilliseconds: number,
  arrivals: readonly RoomArrival[] = [],
): number {
  const open = jobs.map(openJob);
  const asked = open.at(-1);
  if (asked === undefined) return 0;
  const room = new Room(capacity);
  const releases = arrivals.map(({ resources, atMilliseconds }): Release => ({
    at: atMilliseconds,
    resources: scale(resources, usableShare),
    ended: undefined,
  }));
  for (const { steps } of open) startRunning(steps, room, releases);
  let now = 0;
  while (asked.left > 0) {
    for (const { steps } of open) {
      for (const step of steps) startWaiting(step, room, now, releases);
    }
    const next = earliest(releases);
    if (next === undefined || next > horizonMilliseconds) return Number.POSITIVE_INFINITY;
    now = next;
    finishUntil(now, room, releases);
  }
  return now;
}

class Room {
  #left: Resources;

  constructor(capacity: Resources) {
    this.#left = scale(capacity, usableShare);
  }

  /** How many tasks fit. */
  count(needs: Resources): number {
    const { cpuMillicores, memoryMegabytes, accelerators } = this.#left;
    const byCpu = needs.cpuMillicores > 0 ? cpuMillicores / needs.cpuMillicores : Infinity;
    const byMemory = needs.memoryMegabytes > 0 ? memoryMegabytes / needs.memoryMegabytes : Infinity;
    const byAccelerators = needs.accelerators > 0 ? accelerators / needs.accelerators : Infinity;
    return Math.max(0, Math.floor(Math.min(byCpu, byMemory, byAccelerators)));
  }

  take(resources: Resources): void {
    this.#left = subtract(this.#left, resources);
  }

  free(resources: Resources): void {
    this.#left = add(this.#left, resources);
  }
}

function scale({ cpuMillicores, memoryMegabytes, accelerators }: Resources, factor: number): Resources {
  return {
    cpuMillicores: cpuMillicores * factor,
    memoryMegabytes: memoryMegabytes * factor,
    accelerators: accelerators * factor,
  };
}

function openJob({ steps }: ForecastJob): OpenJob {
  const job: OpenJob = { steps: [], left: 0 };
  for (const definition of steps) {
    const left = definition.waiting + definition.running.length;
    job.steps.push({ definition, job, waiting: definition.waiting, left });
    job.left += left;
  }
  return job;
}

function startRunning(steps: readonly OpenStep[], room: Room, releases: Release[]): void {
  for (const step of steps) {
    const { running, needs } = step.definition;
    room.take(scale(needs, running.length));
    for (const at of running) releases.push({ at, resources: needs, ended: { step, count: 1 } });
  }
}

function startWaiting(step: OpenStep, room: Room, now: number, releases: Release[]): void {
  if (step.waiting === 0 || !isReady(step)) return;
  const { needs, runMilliseconds } = step.definition;
  const count = Math.min(step.waiting, room.count(needs));
  if (count === 0) return;
  step.waiting -= count;
  const resources = scale(needs, count);
  room.take(resources);
  releases.push({ at: now + runMilliseconds, resources, ended: { step, count } });
}

function isReady({ definition, job }: OpenStep): boolean {
  return definition.after.every((earlier) => (job.steps[earlier]?.left ?? 0) === 0);
}

function earliest(releases: readonly Release[]): number | undefined {
  let first: number | undefined;
  for (const { at } of releases) if (first === undefined || at < first) first = at;
  return first;
}

function finishUntil(now: number, room: Room, releases: Release[]): void {
  let kept = 0;
  for (const release of releases) {
    if (release.at > now) {
      releases[kept] = release;
      kept += 1;
      continue;
    }
    room.free(release.resources);
    if (release.ended === undefined) continue;
    const { step, count } = release.ended;
    step.left -= count;
    step.job.left -= count;
  }
  releases.length = kept;
}
