/**
 * Forecasts when a job would end on a busy pool, in two parts: the room (free resources) that accepted jobs leave over time,
 * which is planned once for many callers, and the end of one more job in that room. During a load surge, callers request
 * several times the capacity of a pool. A job that can still end in time is accepted although others wait, since steps
 * that wait for earlier steps leave room; a job that cannot is refused at once.
 * @packageDocumentation
 */
import type { Resources } from "../jobs/index.js";
import { noResources, ResourceTracker } from "./resource-tracker.js";
import { fits, scale, subtract } from "./target-view.js";

/** Input of the forecast: the tasks of one step, which all need the same resources. */
export interface ForecastStep {
  /** Tasks that have not been started. */
  readonly waiting: number;
  /** Remaining run time of each running task, in milliseconds. */
  readonly running: readonly number[];
  readonly needs: Resources;
  readonly runMilliseconds: number;
  /** Positions of the steps that must end first. */
  readonly after: readonly number[];
}

/** Input of the forecast: a job, or one occurrence of a repeated job. */
export interface ForecastJob {
  readonly steps: readonly ForecastStep[];
}

/** Resources that are added to a pool later, as by an arriving machine. */
export interface RoomArrival {
  readonly resources: Resources;
  /** Time until they are available. */
  readonly atMilliseconds: number;
}

/** The room that is left from a point in time on. */
interface RoomPoint {
  /** Time from the making of the plan. */
  readonly atMilliseconds: number;
  readonly free: Resources;
}

/** The room that accepted jobs leave over time. */
export interface RoomPlan {
  /** In order of time, the first at 0. */
  readonly points: readonly RoomPoint[];
}

/** A step during the simulation. */
interface OpenStep {
  readonly definition: ForecastStep;
  readonly job: OpenJob;
  waiting: number;
  /** Tasks that have not ended. */
  left: number;
}

/** A job during the simulation. */
interface OpenJob {
  readonly steps: OpenStep[];
  /** Tasks of all steps that have not ended. */
  left: number;
}

/** Resources that become free because tasks end or new resources arrive. */
interface Release {
  readonly resources: Resources;
  /** The tasks that end; undefined for an arrival. */
  readonly ended: { readonly step: OpenStep; readonly count: number } | undefined;
}

/** Share of the capacity that a plan uses: targets are never fully used, since tasks do not divide their cores evenly. */
export const plannableShare = 0.9;
/** Resolution of the simulated time, which bounds the work of a plan. */
const tickMilliseconds = 20;

/**
 * Plans the room that accepted jobs leave.
 * @param jobs - all open jobs in the order in which they get room
 * @param capacity - the capacity of all targets together, without that of long-running tasks
 * @param horizonMilliseconds - how far the plan reaches
 * @param arrivals - resources that are added later
 * @returns the room over time
 */
export function planRoom(
  jobs: readonly ForecastJob[],
  capacity: Resources,
  horizonMilliseconds: number,
  arrivals: readonly RoomArrival[] = [],
): RoomPlan {
  const open = jobs.map(createOpenJob);
  const room = new ResourceTracker(scale(capacity, plannableShare));
  const releases = new Releases(horizonMilliseconds);
  for (const { resources, atMilliseconds } of arrivals) {
    releases.add(atMilliseconds, { resources: scale(resources, plannableShare), ended: undefined });
  }
  for (const { steps } of open) startRunning(steps, room, releases);
  let waiting = open.flatMap(({ steps }) => steps);
  const points: RoomPoint[] = [];
  let now = 0;
  for (;;) {
    for (const step of waiting) startWaiting(step, room, now, releases);
    waiting = waiting.filter((step) => step.waiting > 0);
    points.push({ atMilliseconds: now, free: room.remaining() });
    const next = releases.takeNext();
    if (next === undefined) return { points };
    now = next.atMilliseconds;
    for (const release of next.releases) applyRelease(release, room);
  }
}

/**
 * Forecasts the end of one more job, which uses the room that accepted jobs leave.
 * @param plan - the room that accepted jobs leave
 * @param job - the job to forecast
 * @param horizonMilliseconds - how far the forecast reaches
 * @param ageMilliseconds - how long ago the plan was made
 * @returns milliseconds until the job ends; infinite beyond the horizon
 */
export function forecastEnd(
  plan: RoomPlan,
  job: ForecastJob,
  horizonMilliseconds: number,
  ageMilliseconds = 0,
): number {
  return simulateJob(plan, job, horizonMilliseconds, ageMilliseconds, () => undefined);
}

/**
 * Reserves the room of one more job in a plan, at the times that `forecastEnd` simulates for it.
 * @param plan - the room that accepted jobs leave
 * @param job - the job to reserve room for
 * @param horizonMilliseconds - how far the plan reaches
 * @param ageMilliseconds - how long ago the plan was made
 * @returns a plan of the same age with the room that the job leaves
 */
export function reserveJob(
  plan: RoomPlan,
  job: ForecastJob,
  horizonMilliseconds: number,
  ageMilliseconds: number,
): RoomPlan {
  const taken: RoomPoint[] = [];
  simulateJob(plan, job, horizonMilliseconds, ageMilliseconds, (now, tracker) => {
    const used = tracker.used();
    const before = taken.at(-1)?.free ?? noResources;
    if (!isSame(used, before)) taken.push({ atMilliseconds: now + ageMilliseconds, free: used });
  });
  return { points: subtractOverTime(plan.points, taken) };
}

/**
 * Simulates a job over the times at which it can use room or releases it. Calls `onStep` after each of them with the
 * tracker of the resources that the job uses. Returns the job's end in milliseconds, infinite beyond the horizon.
 */
function simulateJob(
  { points }: RoomPlan,
  job: ForecastJob,
  horizonMilliseconds: number,
  ageMilliseconds: number,
  onStep: (now: number, tracker: ResourceTracker) => void,
): number {
  const candidate = createOpenJob(job);
  const tracker = new ResourceTracker(noResources);
  const releases = new Releases(horizonMilliseconds);
  const pointAt = (index: number): number => (points[index]?.atMilliseconds ?? Infinity) - ageMilliseconds;
  let point = 0;
  let now = 0;
  while (candidate.left > 0) {
    while (pointAt(point + 1) <= now) point += 1;
    tracker.setCapacity(points[point]?.free ?? noResources);
    for (const step of candidate.steps) startWaiting(step, tracker, now, releases);
    onStep(now, tracker);
    const next = Math.min(pointAt(point + 1), releases.nextAt() ?? Infinity);
    if (next > horizonMilliseconds) return Number.POSITIVE_INFINITY;
    now = next;
    if (releases.nextAt() !== now) continue;
    for (const release of releases.takeNext()?.releases ?? []) applyRelease(release, tracker);
  }
  onStep(now, tracker);
  return now;
}

function isSame(left: Resources, right: Resources): boolean {
  return fits(left, right) && fits(right, left);
}

/** Subtracts one series of resources from another; both change over time. */
function subtractOverTime(points: readonly RoomPoint[], taken: readonly RoomPoint[]): RoomPoint[] {
  const left: RoomPoint[] = [];
  let [point, step] = [0, 0];
  let [free, used] = [noResources, noResources];
  while (point < points.length || step < taken.length) {
    const pointAt = points[point]?.atMilliseconds ?? Infinity;
    const stepAt = taken[step]?.atMilliseconds ?? Infinity;
    if (pointAt <= stepAt) {
      free = points[point]?.free ?? free;
      point += 1;
    }
    if (stepAt <= pointAt) {
      used = taken[step]?.free ?? used;
      step += 1;
    }
    left.push({ atMilliseconds: Math.min(pointAt, stepAt), free: subtract(free, used) });
  }
  return left;
}

/** A queue of releases, grouped by tick. */
class Releases {
  readonly #byTick = new Map<number, Release[]>();
  readonly #lastTick: number;
  #nextTick = 0;

  constructor(horizonMilliseconds: number) {
    this.#lastTick = Math.ceil(horizonMilliseconds / tickMilliseconds) + 1;
  }

  add(atMilliseconds: number, release: Release): void {
    const tick = Math.max(Math.ceil(atMilliseconds / tickMilliseconds), this.#nextTick);
    const found = this.#byTick.get(tick);
    if (found === undefined) this.#byTick.set(tick, [release]);
    else found.push(release);
  }

  /** Time of the next release; undefined when there is none within the horizon. */
  nextAt(): number | undefined {
    if (this.#byTick.size === 0) return undefined;
    while (this.#nextTick <= this.#lastTick && !this.#byTick.has(this.#nextTick)) this.#nextTick += 1;
    return this.#nextTick > this.#lastTick ? undefined : this.#nextTick * tickMilliseconds;
  }

  /** Removes and returns the releases of the next tick that has any; undefined when there is none within the horizon. */
  takeNext(): { readonly atMilliseconds: number; readonly releases: readonly Release[] } | undefined {
    const atMilliseconds = this.nextAt();
    if (atMilliseconds === undefined) return undefined;
    const releases = this.#byTick.get(this.#nextTick) ?? [];
    this.#byTick.delete(this.#nextTick);
    return { atMilliseconds, releases };
  }
}

function createOpenJob({ steps }: ForecastJob): OpenJob {
  const job: OpenJob = { steps: [], left: 0 };
  for (const definition of steps) {
    const left = definition.waiting + definition.running.length;
    job.steps.push({ definition, job, waiting: definition.waiting, left });
    job.left += left;
  }
  return job;
}

function startRunning(steps: readonly OpenStep[], room: ResourceTracker, releases: Releases): void {
  for (const step of steps) {
    const { running, needs } = step.definition;
    room.take(needs, running.length);
    for (const at of running) releases.add(at, { resources: needs, ended: { step, count: 1 } });
  }
}

function startWaiting(step: OpenStep, room: ResourceTracker, now: number, releases: Releases): void {
  if (step.waiting === 0 || !isReady(step)) return;
  const { needs, runMilliseconds } = step.definition;
  const count = Math.min(step.waiting, room.countFitting(needs));
  if (count === 0) return;
  step.waiting -= count;
  room.take(needs, count);
  releases.add(now + runMilliseconds, { resources: scale(needs, count), ended: { step, count } });
}

function isReady({ definition, job }: OpenStep): boolean {
  return definition.after.every((earlier) => (job.steps[earlier]?.left ?? 0) === 0);
}

function applyRelease({ resources, ended }: Release, room: ResourceTracker): void {
  room.take(resources, -1);
  if (ended === undefined) return;
  ended.step.left -= ended.count;
  ended.step.job.left -= ended.count;
}
