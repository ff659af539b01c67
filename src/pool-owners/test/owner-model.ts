/**
 * A naive reference of what may run: what callers were told, which faults targets had, and the rules that every history
 * of runs has to keep.
 * @packageDocumentation
 */
import type { LeaseLapse, RunRecord } from "../../stand-ins/index.js";
import { createWorkspaceTable } from "../../workspaces/index.js";
import { terms } from "./owner-fixture.js";

/** The workspace of the short jobs, where there is one. */
export const workspace = "agency";
/** How many of its tasks, of one core each, may run at once. */
export const cappedTasks = 3;
/** The configuration's workspaces. */
export const caps = createWorkspaceTable([
  {
    name: workspace,
    weight: 1,
    cap: { cpuMillicores: cappedTasks * 1_000, memoryMegabytes: 0, accelerators: 0 },
    keys: [],
  },
]).unsafeCoerce();

/** Kinds of jobs that are handed in. */
export type JobKind = "short" | "failing" | "lasting";

/** A job as its caller knows it. */
export interface KnownJob {
  readonly jobId: string;
  readonly kind: JobKind;
  state: "unknown" | "accepted" | "refused";
  isCancelled: boolean;
}

/** A time in which what a target ran may have been lost. */
interface Fault {
  readonly targetId: string;
  readonly from: number;
  to: number;
}

/** What is known besides the history. */
export class OwnerModel {
  readonly jobs = new Map<string, KnownJob>();
  readonly #faults: Fault[] = [];

  /** Notes that a target is silent from now on. */
  noteSilence(targetId: string, now: number): void {
    this.#faults.push({ targetId, from: now, to: Infinity });
  }

  /** Notes that a target answers again. */
  noteRevival(targetId: string, now: number): void {
    for (const fault of this.#faults)
      if (fault.targetId === targetId && fault.to === Infinity) fault.to = now;
  }

  /** Notes that a target started again and knows nothing. */
  noteRestart(targetId: string, now: number): void {
    this.#faults.push({ targetId, from: now, to: now });
  }

  /**
   * Checks a history of runs.
   * @param history - all runs so far
   * @param lapses - all leases of targets that have ended
   * @returns what is wrong with it
   */
  findViolations(history: readonly RunRecord[], lapses: readonly LeaseLapse[]): string[] {
    const byTask = new Map<string, RunRecord[]>();
    for (const run of history) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
    return [...byTask].flatMap(([task, runs]) => [
      ...findOverlaps(task, runs),
      ...this.#findRepeats(task, runs, lapses),
      ...this.#findExcess(task, runs),
      ...this.#findUnasked(task),
      ...findDisorder(task, runs, history),
    ]);
  }

  /**
   * A run after one that succeeded is only allowed if the target may have lost the end before anybody saw it, or if its
   * lease had lapsed before the end was acknowledged.
   */
  #findRepeats(task: string, runs: readonly RunRecord[], lapses: readonly LeaseLapse[]): string[] {
    return runs.flatMap((run) => {
      const before = runs.find(({ how, to }) => how === "succeeded" && to !== undefined && to <= run.from);
      if (before === undefined || this.#mayBeLost(before, run.from)) return [];
      if (hasLapsed(before, before.acknowledgedAt ?? run.from, lapses)) return [];
      const { targetId, to = 0, acknowledgedAt } = before;
      const after = (at: number | undefined): string => (at === undefined ? "never" : `after ${at - to} ms`);
      const seen = `acknowledged ${after(acknowledgedAt)}, again ${after(run.from)}`;
      return [`${task} ran again on ${run.targetId} after it had succeeded on ${targetId}: ${seen}`];
    });
  }

  /** Failures that nobody may have seen do not count as attempts. */
  #findExcess(task: string, runs: readonly RunRecord[]): string[] {
    const last = Math.max(...runs.map(({ from }) => from));
    const failed = runs.filter((run) => run.how === "failed" && !this.#mayBeLost(run, last));
    return failed.length > terms.attempts ? [`${task} failed ${failed.length} times`] : [];
  }

  #mayBeLost({ targetId, to = 0 }: RunRecord, until: number): boolean {
    return this.#faults.some((fault) => fault.targetId === targetId && fault.from <= until && fault.to >= to);
  }

  #findUnasked(task: string): string[] {
    const job = this.jobs.get(task.split(".")[0] ?? "");
    if (job === undefined) return [`${task} was never handed in`];
    return job.state === "refused" ? [`${task} ran although its job was refused`] : [];
  }
}

/**
 * Checks that no start brought more to run of a workspace than its cap.
 * @param history - all runs so far
 * @param isOwn - whether a task belongs to the workspace
 * @param most - how many of its tasks may run at once
 * @returns what is wrong
 */
export function findAboveCap(
  history: readonly RunRecord[],
  isOwn: (task: string) => boolean,
  most: number,
): string[] {
  const own = history.filter(({ task }) => isOwn(task));
  return own.flatMap(({ task, from }) => {
    const running = own.filter((run) => run.from <= from && from < (run.to ?? Infinity));
    const names = running.map((run) => `${run.task}/${run.run}@${run.targetId}`);
    return running.length > most ? [`${task} started as one of ${running.length}: ${names.join(" ")}`] : [];
  });
}

function hasLapsed({ targetId, to = 0 }: RunRecord, until: number, lapses: readonly LeaseLapse[]): boolean {
  return lapses.some((lapse) => lapse.targetId === targetId && lapse.at >= to && lapse.at <= until);
}

function findOverlaps(task: string, runs: readonly RunRecord[]): string[] {
  const sorted = [...runs].sort((left, right) => left.from - right.from);
  return sorted.flatMap((run, index) => {
    const earlier = sorted.slice(0, index).find(({ to }) => (to ?? Infinity) > run.from);
    return earlier === undefined ? [] : [`${task} ran on ${earlier.targetId} and ${run.targetId} at once`];
  });
}

/** The tasks of the second step start after those of the first have succeeded. */
function findDisorder(task: string, runs: readonly RunRecord[], history: readonly RunRecord[]): string[] {
  const [jobId = "", occurrence = "", step = ""] = task.split(".");
  if (step !== "1") return [];
  const first = Math.min(...runs.map(({ from }) => from));
  return [0, 1].flatMap((index) => {
    const earlier = `${jobId}.${occurrence}.0.${index}`;
    const isDone = history.some(
      (run) => run.task === earlier && run.how === "succeeded" && (run.to ?? Infinity) <= first,
    );
    return isDone ? [] : [`${task} started before ${earlier} had succeeded`];
  });
}
