/**
 * Derives the causal order of a job's log lines from their events, independent of the clocks of the processes.
 * @packageDocumentation
 */
import type { TimelineLine } from "./job-timeline.js";

/** Order of the events within one run of a task; events with the same number are not ordered among each other. */
const runSteps: Readonly<Partial<Record<string, number>>> = {
  "start-order": 1,
  "run-adopted": 2,
  "run-paced": 2,
  "run-stray": 2,
  "stop-order": 2,
  "run-vanished": 3,
  "run-ended": 3,
};
/** Events that precede the end of their job. Orders to stop an unexpected run are left out: they may come later. */
const precedesJobEnd = new Set(["start-order", "run-adopted", "run-vanished", "run-ended"]);

/** Events that an owner logs when it rejects a submission. */
const refusalEvents = new Set(["job-refused", "job-identifier-taken"]);

/**
 * Finds the causes of each line in the logs of other processes. Within a log, the order of the lines is the causal order.
 * @param lines - all lines of one job, from all logs
 * @returns for each line the lines of other logs that must precede it
 */
export function findCauses(
  lines: readonly TimelineLine[],
): ReadonlyMap<TimelineLine, readonly TimelineLine[]> {
  const accepted = lines.filter(({ event }) => event === "job-accepted");
  const runLines = lines.filter(({ event }) => precedesJobEnd.has(event));
  const refusals = lines.filter(({ event }) => refusalEvents.has(event));
  const refusalAnswers = lines.filter(isRefusalAnswer);
  const byTask = groupByTask(lines);
  const causesOf = (line: TimelineLine): readonly TimelineLine[] => {
    if (line.fields.task !== undefined) return [...accepted, ...causesOfRun(line, byTask)];
    if (line.event === "job-ended") return [...accepted, ...runLines];
    if (line.event !== "job-submitted") return [];
    // The gateway logs a submission when it responds, so after the owner has logged its decision.
    if (line.fields.outcome === "accepted") return accepted;
    return refusals.length === refusalAnswers.length
      ? refusals.slice(0, refusalAnswers.indexOf(line) + 1)
      : [];
  };
  const causesInOtherLogs = (line: TimelineLine): TimelineLine[] =>
    causesOf(line).filter(({ source }) => source !== line.source);
  return new Map(lines.map((line) => [line, causesInOtherLogs(line)]));
}

function isRefusalAnswer({ event, fields }: TimelineLine): boolean {
  return event === "job-submitted" && fields.outcome === "refused";
}

/** Lines of the same task for an earlier run, or for an earlier step of the same run. */
function causesOfRun(
  line: TimelineLine,
  byTask: ReadonlyMap<string, readonly TimelineLine[]>,
): TimelineLine[] {
  const others = byTask.get(line.fields.task ?? "") ?? [];
  return others.filter((other) => {
    const difference = runOf(other) - runOf(line);
    return difference === 0 ? stepOf(other) < stepOf(line) : difference < 0;
  });
}

/**
 * Groups the lines that name a task.
 * @param lines - lines of one job
 * @returns the lines of each task, in their order
 */
export function groupByTask(lines: readonly TimelineLine[]): ReadonlyMap<string, readonly TimelineLine[]> {
  const groups = new Map<string, TimelineLine[]>();
  for (const line of lines) {
    const { task } = line.fields;
    if (task === undefined) continue;
    const group = groups.get(task) ?? [];
    group.push(line);
    groups.set(task, group);
  }
  return groups;
}

function runOf({ fields }: TimelineLine): number {
  return Number(fields.run ?? Number.NaN);
}

function stepOf({ event }: TimelineLine): number {
  return runSteps[event] ?? Number.NaN;
}
