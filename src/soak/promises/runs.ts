/**
 * Promises on the runs of tasks on targets.
 * @packageDocumentation
 */
import type { RunRecord } from "../../stand-ins/index.js";
import { nameTasks, readTaskName, type HistoryFacts, type SoakPromise, type Violation } from "./facts.js";

type Breach = Omit<Violation, "promise">;

function describeRun({ run, targetId, from, to, how }: RunRecord): string {
  return `run ${run} on ${targetId} from ${Math.round(from)} to ${to === undefined ? "now" : Math.round(to)} ${how ?? ""}`;
}

function createBreach(at: number, run: RunRecord, detail: string): Breach {
  return { at, subjects: [run.task, run.targetId], detail };
}

/** Checks the runs of each task, in order of their start. */
function findByTask(
  { runsByTask }: HistoryFacts,
  find: (runs: readonly RunRecord[], task: string) => Breach[],
): Breach[] {
  return [...runsByTask].flatMap(([task, runs]) => find(runs, task));
}

/** Two runs of a task never overlap. */
export const oneRunAtATime: SoakPromise = {
  name: "one-run-at-a-time",
  rule: "TWICE",
  find: (facts) =>
    findByTask(facts, (runs) =>
      runs.flatMap((run, index) =>
        runs
          .slice(0, index)
          .filter(({ to }) => to === undefined || to > run.from)
          .map((earlier) => createBreach(run.from, run, `${describeRun(earlier)}; ${describeRun(run)}`)),
      ),
    ),
};

/** No run starts after a successful run whose end was acknowledged, even if the acknowledgement came later. */
export const noStartAfterSuccess: SoakPromise = {
  name: "no-start-after-acknowledged-success",
  rule: "TWICE",
  find: (facts) =>
    findByTask(facts, (runs) => {
      const done = runs.find(
        ({ how, acknowledgedAt }) => how === "succeeded" && acknowledgedAt !== undefined,
      );
      const endedAt = done?.to;
      if (done === undefined || endedAt === undefined) return [];
      return runs
        .filter(({ from }) => from > endedAt)
        .map((run) => createBreach(run.from, run, `${describeRun(done)}; ${describeRun(run)}`));
    }),
};

/** No run starts after as many acknowledged failures as the queue allows attempts. */
export const noStartAfterLastAttempt: SoakPromise = {
  name: "no-start-after-last-attempt",
  rule: "BUDGET",
  find: (facts) =>
    findByTask(facts, (runs, task) => {
      const { jobId, step } = readTaskName(task);
      const job = facts.history.jobs.get(jobId);
      if (job === undefined || job.definition.steps[step]?.isLasting === true) return [];
      const ends = runs.filter(({ how, acknowledgedAt }) => how === "failed" && acknowledgedAt !== undefined);
      const last = ends[job.attempts - 1]?.to;
      if (last === undefined) return [];
      return runs
        .filter(({ from }) => from > last)
        .map((run) =>
          createBreach(run.from, run, `${job.attempts} attempts had failed; ${describeRun(run)}`),
        );
    }),
};

/** No run starts before all tasks of the steps that its step depends on have succeeded. */
export const earlierStepsFirst: SoakPromise = {
  name: "earlier-steps-first",
  rule: "ORDER",
  find: (facts) =>
    findByTask(facts, (runs, task) => {
      const { jobId, step } = readTaskName(task);
      const steps = facts.history.jobs.get(jobId)?.definition.steps ?? [];
      const needed = (steps[step]?.after ?? []).flatMap((earlier) => {
        const definition = steps[earlier];
        return definition === undefined ? [] : nameTasks(jobId, earlier, definition);
      });
      return runs.flatMap((run) => {
        const missing = needed.find((name) => !hasSucceeded(facts, name, run.from));
        return missing === undefined ? [] : [createBreach(run.from, run, `${missing} had not succeeded`)];
      });
    }),
};

/** Returns whether a run of the task had succeeded by the given time. */
export function hasSucceeded({ runsByTask }: HistoryFacts, task: string, at: number): boolean {
  const runs = runsByTask.get(task) ?? [];
  return runs.some(({ how, to }) => how === "succeeded" && to !== undefined && to <= at);
}

/** Tasks run only on targets in the pool of their queue. */
export const rightPool: SoakPromise = {
  name: "right-pool",
  rule: "ROUTE",
  find: ({ history }) =>
    history.runs.flatMap((run) => {
      const wanted = history.jobs.get(readTaskName(run.task).jobId)?.pool;
      return wanted === run.pool
        ? []
        : [createBreach(run.from, run, `pool ${run.pool} instead of ${wanted ?? "none"}`)];
    }),
};

/** Each start of a task has a higher run number than the one before, and a fencing token that is at least as high. */
export const fencedStarts: SoakPromise = {
  name: "fenced-starts",
  rule: "fencing (PROTOCOL, Running subtasks)",
  find: (facts) =>
    findByTask(facts, (runs) =>
      runs.flatMap((run, index) => {
        const before = runs[index - 1];
        if (before === undefined || facts.history.lateRuns.has(`${run.task}#${run.run}`)) return [];
        if (run.fencingToken >= before.fencingToken && run.run > before.run) return [];
        const tokens = `tokens ${before.fencingToken}, ${run.fencingToken}`;
        return [createBreach(run.from, run, `${tokens}; ${describeRun(before)}; ${describeRun(run)}`)];
      }),
    ),
};

/** A job whose submissions were all refused never runs. */
export const refusedNeverRuns: SoakPromise = {
  name: "refused-never-runs",
  rule: "REFUSED",
  find: (facts) => {
    const refused = new Set(facts.jobs.filter(({ isRefused }) => isRefused).map(({ job }) => job.jobId));
    return facts.history.runs
      .filter(({ task }) => refused.has(readTaskName(task).jobId))
      .map((run) => createBreach(run.from, run, describeRun(run)));
  },
};

const stepMilliseconds = 250;

/** The end of the first span without faults in which the run should have stopped but didn't; undefined if there is none. */
function findOverdue({ bounds, isCalm }: HistoryFacts, from: number, to: number): number | undefined {
  const bound = bounds.cancelMilliseconds + bounds.stopMilliseconds;
  for (let at = from + bound; at < to; at += stepMilliseconds) {
    if (isCalm(at - bound, at)) return at;
  }
  return undefined;
}

/** After a confirmed cancellation, no run starts and all runs stop within the time limit, counted while no fault is active. */
export const cancelledStops: SoakPromise = {
  name: "cancelled-stops",
  rule: "UNASKED",
  find: (facts) => {
    const { bounds, history } = facts;
    const confirmed = new Map(
      facts.jobs.flatMap(({ job, cancelConfirmedAt: at }) => (at === undefined ? [] : [[job.jobId, at]])),
    );
    return history.runs.flatMap((run) => {
      const confirmedAt = confirmed.get(readTaskName(run.task).jobId);
      if (confirmedAt === undefined) return [];
      const end = run.to ?? history.endedAt;
      const startBound = confirmedAt + bounds.cancelMilliseconds;
      const isLate = history.lateRuns.has(`${run.task}#${run.run}`);
      if (run.from > startBound && !isLate && facts.isCalm(run.from, run.from)) {
        return [
          createBreach(
            run.from,
            run,
            `started ${Math.round(run.from - confirmedAt)} ms after the cancellation`,
          ),
        ];
      }
      const at = findOverdue(facts, Math.max(confirmedAt, run.from), end);
      return at === undefined
        ? []
        : [createBreach(at, run, `cancelled at ${Math.round(confirmedAt)}; ${describeRun(run)}`)];
    });
  },
};

/** No run starts on a target later than the drain time after it announced that it drains. */
export const noStartOnDraining: SoakPromise = {
  name: "no-start-on-draining",
  rule: "DRAIN",
  find: (facts) => {
    const announced = new Map(facts.history.drains.map(({ targetId, at }) => [targetId, at]));
    return facts.history.runs.flatMap((run) => {
      const at = announced.get(run.targetId);
      if (at === undefined || run.from <= at + facts.bounds.drainMilliseconds) return [];
      const isExcused =
        facts.history.lateRuns.has(`${run.task}#${run.run}`) || !facts.isCalm(at, run.from, true);
      return isExcused
        ? []
        : [createBreach(run.from, run, `${Math.round(run.from - at)} ms after the announcement`)];
    });
  },
};
