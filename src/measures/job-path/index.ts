/**
 * The job path of one owner without HTTP: how its processor time grows with tasks, targets, jobs that wait and refused
 * submissions, which part takes it, and at which size one owner no longer fits a machine.
 * @packageDocumentation
 */
import { build } from "hdr-histogram-js";
import type { Figure, Measure } from "../measure.js";
import { describeSeries, fitLine, type Point } from "../slopes/fit.js";
import { tasksPerJob } from "./load.js";
import { measureOwner, type OwnerCost, type OwnerSize } from "./measured-owner.js";

/** About a turn of demand at the size that the others are compared with. */
const base: OwnerSize = { jobsPerSecond: 30, targets: 55, waitingJobs: 0, refusedPerSecond: 0, endedJobs: 0 };
/** A turn of demand of a grown deployment. */
const turn: OwnerSize = {
  jobsPerSecond: 120,
  targets: 55,
  waitingJobs: 40,
  refusedPerSecond: 120,
  endedJobs: 2_000,
};

interface Series {
  readonly name: string;
  readonly per: string;
  readonly sizes: readonly OwnerSize[];
  readonly sizeOf: (size: OwnerSize) => number;
}

const tasksPerSecond = ({ jobsPerSecond }: OwnerSize): number => jobsPerSecond * tasksPerJob;

const taskSeries: Series = {
  name: "by tasks a second",
  per: "task/s",
  sizes: [30, 60, 120].map((jobsPerSecond) => ({ ...base, jobsPerSecond })),
  sizeOf: tasksPerSecond,
};
const otherSeries: readonly Series[] = [
  {
    name: "by targets",
    per: "target",
    sizes: [10, 55, 200].map((targets) => ({ ...base, targets })),
    sizeOf: ({ targets }) => targets,
  },
  {
    name: "by jobs that wait",
    per: "job",
    sizes: [0, 50, 200].map((waitingJobs) => ({ ...base, waitingJobs })),
    sizeOf: ({ waitingJobs }) => waitingJobs,
  },
  {
    name: "by jobs that have ended",
    per: "job",
    sizes: [0, 2_000, 8_000].map((endedJobs) => ({ ...base, endedJobs })),
    sizeOf: ({ endedJobs }) => endedJobs,
  },
  {
    name: "by refused submissions a second",
    per: "submission/s",
    sizes: [0, 120, 480].map((refusedPerSecond) => ({ ...base, refusedPerSecond })),
    sizeOf: ({ refusedPerSecond }) => refusedPerSecond,
  },
];
/** What an entry may take for control, and what the machines of deployments give one process; in cores. */
const bounds = [0.044, 0.324, 0.675, 1.35] as const;
/** Of so many runs the cheapest counts: what else runs on the machine only adds to it. */
const repeats = 2;
const microsecondsPerMillisecond = 1_000;

/** Measures one owner in this process; stand-ins that cost little are part of it. */
export const jobPathMeasure: Measure = {
  name: "jobs",
  description:
    "one owner without HTTP: slopes of its processor time, which part takes it, where it no longer fits",
  run: async () => {
    const warmUp = { ...base, targets: 10 };
    await measureOwner(warmUp, false);
    const figures = describeTurn(await measureOwner(turn, false), await measureOwner(turn, true));
    const byTasks = await measureSeries(taskSeries);
    figures.push(...byTasks.figures, ...describeBounds(byTasks.points));
    for (const series of otherSeries) figures.push(...(await measureSeries(series)).figures);
    return figures;
  },
};

async function measureSeries(series: Series): Promise<{ figures: Figure[]; points: Point[] }> {
  const costs = series.sizes.map(() => Number.POSITIVE_INFINITY);
  for (let repeat = 0; repeat < repeats; repeat += 1) {
    for (const [index, size] of series.sizes.entries()) {
      const { shareOfCore } = await measureOwner(size, false);
      costs[index] = Math.min(costs[index] ?? Number.POSITIVE_INFINITY, shareOfCore);
    }
  }
  const points = series.sizes.map((size, index) => ({ size: series.sizeOf(size), cost: costs[index] ?? 0 }));
  const { name, per } = series;
  return { figures: describeSeries({ name, unit: "of a core", per }, points), points };
}

function describeTurn(cost: OwnerCost, sampled: OwnerCost): Figure[] {
  const { jobsPerSecond, targets, waitingJobs, refusedPerSecond, endedJobs } = turn;
  const load = `${jobsPerSecond} jobs/s, ${refusedPerSecond} refused/s`;
  const name = `turn (${load}; ${waitingJobs} wait, ${endedJobs} ended, ${targets} targets)`;
  const waits = build({ numberOfSignificantValueDigits: 3 });
  for (const wait of cost.waits) waits.recordValue(wait * microsecondsPerMillisecond);
  const wait = (percentile: number): number =>
    waits.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  const parts = [...(sampled.parts ?? [])].sort(([, left], [, right]) => right - left);
  return [
    { name, value: cost.shareOfCore, unit: "of a core" },
    { name: `${name}: for each task`, value: cost.microsecondsPerTask, unit: "µs" },
    { name: `${name}: acceptance to start, p50`, value: wait(50), unit: "ms" },
    { name: `${name}: acceptance to start, p99`, value: wait(99), unit: "ms" },
    ...parts.map(([part, value]) => ({ name: `turn, share of ${part}`, value, unit: "share" })),
  ];
}

/** At which rate of tasks an owner takes all that it may; below the smallest measured size it never fits. */
function describeBounds(points: readonly Point[]): Figure[] {
  const { slope, intercept } = fitLine(points);
  return bounds.map((cores) => ({
    name: `tasks a second that fit ${cores} of a core`,
    value: Math.max(0, (cores - intercept) / slope),
    unit: "tasks/s",
  }));
}
