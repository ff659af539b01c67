/**
 * Forecasts when a job would end on a busy pool. Answers a turn of demand in which a pool is asked for several times what
 * it can do: jobs that can be in time are taken although others wait, since work that waits for earlier steps leaves
 * room, and jobs that cannot are refused at once.
 * @packageDocumentation
 */
import type { Resources } from "../jobs/index.js";

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

interface Completion {
  readonly at: number;
  readonly step: OpenStep;
  readonly count: number;
}

/** Targets are never full to the last core: tasks do not divide their room evenly. */
const usableShare = 0.9;

/**
 * Forecasts the end of a job.
 * @param jobs - all open jobs in the order in which they get room, the asked one last
 * @param capacity - the room of all targets together, that of lasting tasks not counted
 * @param horizonMilliseconds - how far the forecast looks
 * @returns milliseconds until the last job ends; infinite beyond the horizon
 */
export function forecastEnd(
  jobs: readonly ForecastJob[],
  capacity: Resources,
  horizonMilliseconds: number,
): number {
  const open = jobs.map(openJob);
  const asked = open.at(-1);
  if (asked === undefined) return 0;
  const room = new Room(capacity);
  const completions: Completion[] = [];
  for (const { steps } of open) startRunning(steps, room, completions);
  let now = 0;
  while (asked.left > 0) {
    for (const { steps } of open) {
      for (const step of steps) startWaiting(step, room, now, completions);
    }
    const next = earliest(completions);
    if (next === undefined || next > horizonMilliseconds) return Number.POSITIVE_INFINITY;
    now = next;
    finishUntil(now, room, completions);
  }
  return now;
}

class Room {
  cpuMillicores: number;
  memoryMegabytes: number;
  accelerators: number;

  constructor(capacity: Resources) {
    this.cpuMillicores = capacity.cpuMillicores * usableShare;
    this.memoryMegabytes = capacity.memoryMegabytes * usableShare;
    this.accelerators = capacity.accelerators;
  }

  /** How many tasks fit. */
  count(needs: Resources): number {
    const byCpu = needs.cpuMillicores > 0 ? this.cpuMillicores / needs.cpuMillicores : Infinity;
    const byMemory = needs.memoryMegabytes > 0 ? this.memoryMegabytes / needs.memoryMegabytes : Infinity;
    const byAccelerators = needs.accelerators > 0 ? this.accelerators / needs.accelerators : Infinity;
    return Math.max(0, Math.floor(Math.min(byCpu, byMemory, byAccelerators)));
  }

  take(needs: Resources, count: number): void {
    this.cpuMillicores -= needs.cpuMillicores * count;
    this.memoryMegabytes -= needs.memoryMegabytes * count;
    this.accelerators -= needs.accelerators * count;
  }
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

function startRunning(steps: readonly OpenStep[], room: Room, completions: Completion[]): void {
  for (const step of steps) {
    const { running, needs } = step.definition;
    room.take(needs, running.length);
    for (const at of running) completions.push({ at, step, count: 1 });
  }
}

function startWaiting(step: OpenStep, room: Room, now: number, completions: Completion[]): void {
  if (step.waiting === 0 || !isReady(step)) return;
  const { needs, runMilliseconds } = step.definition;
  const count = Math.min(step.waiting, room.count(needs));
  if (count === 0) return;
  step.waiting -= count;
  room.take(needs, count);
  completions.push({ at: now + runMilliseconds, step, count });
}

function isReady({ definition, job }: OpenStep): boolean {
  return definition.after.every((earlier) => (job.steps[earlier]?.left ?? 0) === 0);
}

function earliest(completions: readonly Completion[]): number | undefined {
  let first: number | undefined;
  for (const { at } of completions) if (first === undefined || at < first) first = at;
  return first;
}

function finishUntil(now: number, room: Room, completions: Completion[]): void {
  let kept = 0;
  for (const completion of completions) {
    if (completion.at > now) {
      completions[kept] = completion;
      kept += 1;
      continue;
    }
    const { step, count } = completion;
    step.left -= count;
    step.job.left -= count;
    room.take(step.definition.needs, -count);
  }
  completions.length = kept;
}
