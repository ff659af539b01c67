/**
 * Forecasts when a job would end on a busy pool, in two parts: the room that accepted jobs leave over time, which is
 * planned once for many callers, and the end of one more job in it. Answers a turn of demand in which a pool is asked for several times what
 * it can do: jobs that can be in time are taken although others wait, since work that waits for earlier steps leaves
 * room, and jobs that cannot are refused at once.
 * @packageDocumentation
 */
import type { Resources } from "../jobs/index.js";
import { scale } from "./target-view.js";
import { noResources, ResourceTracker } from "./resource-tracker.js";
import { fits, subtract } from "./target-view.js";

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

/** Room that is left from a time on. */
interface RoomPoint {
  /** From when the room was planned. */
  readonly atMilliseconds: number;
  readonly free: Resources;
}

/** The room that accepted jobs leave over time. */
export interface RoomPlan {
  /** By time, the first at 0. */
  readonly points: readonly RoomPoint[];
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
  readonly resources: Resources;
  /** Tasks that end with it. */
  readonly ended: { readonly step: OpenStep; readonly count: number } | undefined;
}

/** Targets are never full to the last core: tasks do not divide their room evenly. */
export const plannableShare = 0.9;
/** Times are told apart no finer than this, which bounds the work of a plan. */
const tickMilliseconds = 20;

/**
 * Plans the room that accepted jobs leave.
 * @param jobs - all open jobs in the order in which they get room
 * @param capacity - the room of all targets together, that of long-running tasks not counted
 * @param horizonMilliseconds - how far the plan looks
 * @param arrivals - room that comes later
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
 * Forecasts the end of one more job, which takes the room that others leave.
 * @param plan - the room that others leave
 * @param job - the job
 * @param horizonMilliseconds - how far the forecast looks
 * @param ageMilliseconds - how long ago the room was planned
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
 * Takes the room of one more job, as `forecastEnd` forecasts it, from that which others leave.
 * @param plan - the room that others leave
 * @param job - the job
 * @param horizonMilliseconds - how far the plan looks
 * @param ageMilliseconds - how long ago the room was planned
 * @returns the room that is left beside the job, of the same age
 */
export function reserveJob(
  plan: RoomPlan,
  job: ForecastJob,
  horizonMilliseconds: number,
  ageMilliseconds: number,
): RoomPlan {
  const taken: RoomPoint[] = [];
  simulateJob(plan, job, horizonMilliseconds, ageMilliseconds, (now, own) => {
    const used = own.used();
    const before = taken.at(-1)?.free ?? noResources;
    if (!isSame(used, before)) taken.push({ atMilliseconds: now + ageMilliseconds, free: used });
  });
  return { points: subtractOverTime(plan.points, taken) };
}

/** Goes through the times at which a job can take room or gives it back; tells after each what it has taken. */
function simulateJob(
  { points }: RoomPlan,
  job: ForecastJob,
  horizonMilliseconds: number,
  ageMilliseconds: number,
  onStep: (now: number, own: ResourceTracker) => void,
): number {
  const asked = createOpenJob(job);
  const own = new ResourceTracker(noResources);
  const releases = new Releases(horizonMilliseconds);
  const pointAt = (index: number): number => (points[index]?.atMilliseconds ?? Infinity) - ageMilliseconds;
  let point = 0;
  let now = 0;
  while (asked.left > 0) {
    while (pointAt(point + 1) <= now) point += 1;
    own.setCapacity(points[point]?.free ?? noResources);
    for (const step of asked.steps) startWaiting(step, own, now, releases);
    onStep(now, own);
    const next = Math.min(pointAt(point + 1), releases.nextAt() ?? Infinity);
    if (next > horizonMilliseconds) return Number.POSITIVE_INFINITY;
    now = next;
    if (releases.nextAt() !== now) continue;
    for (const release of releases.takeNext()?.releases ?? []) applyRelease(release, own);
  }
  onStep(now, own);
  return now;
}

function isSame(left: Resources, right: Resources): boolean {
  return fits(left, right) && fits(right, left);
}

/** Takes what changes over time from what else changes over time. */
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

/** Releases by the tick in which they come. */
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

  /** When the next release comes; undefined when there is none within the horizon. */
  nextAt(): number | undefined {
    if (this.#byTick.size === 0) return undefined;
    while (this.#nextTick <= this.#lastTick && !this.#byTick.has(this.#nextTick)) this.#nextTick += 1;
    return this.#nextTick > this.#lastTick ? undefined : this.#nextTick * tickMilliseconds;
  }

  /** Takes the releases of the next tick that has some. */
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
