/**
 * The promise on long-running tasks.
 * @packageDocumentation
 */
import {
  nameTasks,
  isLongRunningJob,
  type HistoryFacts,
  type JobFacts,
  type SoakPromise,
  type Violation,
} from "./facts.js";

type Breach = Omit<Violation, "promise">;

/** The time allowed for a task to run again after its last run. */
const restartMilliseconds = 6_000;
/** After that time, a gap of this length without faults and with free capacity is a violation. */
const idleMilliseconds = 3_000;
/** Time without faults that must precede such a gap. */
const calmBeforeMilliseconds = 4_000;
const stepMilliseconds = 250;

/** A long-running task runs again soon, while no fault is active and its pool has free capacity. */
export const longRunningTasksRunAgain: SoakPromise = {
  name: "lasting-runs-again",
  rule: "LOST",
  find: (facts) =>
    facts.jobs.filter(({ job }) => isLongRunningJob(job)).flatMap((job) => findGaps(facts, job)),
};

function findGaps(facts: HistoryFacts, each: JobFacts): Breach[] {
  const { job, acceptedAt, cancelRequestedAt = Number.POSITIVE_INFINITY } = each;
  if (acceptedAt === undefined) return [];
  const until = Math.min(facts.history.endedAt, cancelRequestedAt);
  const tasks = job.definition.steps.flatMap((step, index) => nameTasks(job.jobId, index, step));
  return tasks.flatMap((task) => {
    const runs = facts.runsByTask.get(task) ?? [];
    const gapStarts = [acceptedAt, ...runs.flatMap(({ to }) => (to === undefined ? [] : [to]))];
    return gapStarts.flatMap((from) => {
      if (runs.some((run) => run.from <= from && (run.to === undefined || run.to > from))) return [];
      const next = runs.find((run) => run.from > from)?.from ?? Number.POSITIVE_INFINITY;
      const at = findBreach(facts, each, from, Math.min(next, until));
      const gapMilliseconds = Math.round((at ?? 0) - from);
      return at === undefined
        ? []
        : [{ at, subjects: [task], detail: `does not run for ${gapMilliseconds} ms` }];
    });
  });
}

/** The first time at which a gap is too long, checked in steps; undefined if it never is. */
function findBreach(facts: HistoryFacts, each: JobFacts, from: number, to: number): number | undefined {
  for (let at = from + restartMilliseconds + idleMilliseconds; at < to; at += stepMilliseconds) {
    const isCalm = facts.isCalm(at - idleMilliseconds - calmBeforeMilliseconds, at);
    if (isCalm && hasRoom(facts, each, at - idleMilliseconds, at)) return at;
  }
  return undefined;
}

function hasRoom({ history }: HistoryFacts, { job }: JobFacts, from: number, to: number): boolean {
  const needed = job.definition.steps[0]?.resources.cpuMillicores ?? 0;
  const samples = history.samples.filter(({ pool, at }) => pool === job.pool && at >= from && at <= to);
  return (
    samples.length > 0 &&
    samples.every(
      ({ usedMillicores, totalMillicores, largestFreeMillicores }) =>
        largestFreeMillicores >= 2 * needed && usedMillicores < totalMillicores / 2,
    )
  );
}
