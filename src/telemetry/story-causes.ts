/**
 * Which lines of a job's story must come before which, whatever the clocks of their processes say.
 * @packageDocumentation
 */
import type { StoryLine } from "./job-story.js";

/** How far a run has come when an event of it is written. */
const runSteps: Readonly<Partial<Record<string, number>>> = {
  "start-order": 1,
  "run-adopted": 2,
  "run-paced": 2,
  "run-stray": 2,
  "stop-order": 2,
  "run-vanished": 3,
  "run-ended": 3,
};
/** A job ends after these; what must not be there may be stopped later. */
const beforeEnd = new Set(["start-order", "run-adopted", "run-vanished", "run-ended"]);

/** What an owner writes of a submission that it does not take. */
const refusals = new Set(["job-refused", "job-identifier-taken"]);

/**
 * Finds the lines that must come before each line. Only lines of different logs are related here: within a log the order is
 * that of its process.
 * @param lines - the lines of one job
 * @returns for each line those before it
 */
export function findCauses(lines: readonly StoryLine[]): ReadonlyMap<StoryLine, readonly StoryLine[]> {
  const accepted = lines.filter(({ event }) => event === "job-accepted");
  const worked = lines.filter(({ event }) => beforeEnd.has(event));
  const refused = lines.filter(({ event }) => refusals.has(event));
  const told = lines.filter(isToldRefusal);
  const byTask = groupByTask(lines);
  const causesOf = (line: StoryLine): readonly StoryLine[] => {
    if (line.fields.task !== undefined) return [...accepted, ...causesOfRun(line, byTask)];
    if (line.event === "job-ended") return [...accepted, ...worked];
    if (line.event !== "job-submitted") return [];
    // The line of a submission is written with its answer, and so after the owner's.
    if (line.fields.outcome === "accepted") return accepted;
    return refused.length === told.length ? refused.slice(0, told.indexOf(line) + 1) : [];
  };
  const foreign = (line: StoryLine): StoryLine[] =>
    causesOf(line).filter(({ source }) => source !== line.source);
  return new Map(lines.map((line) => [line, foreign(line)]));
}

function isToldRefusal({ event, fields }: StoryLine): boolean {
  return event === "job-submitted" && fields.outcome === "refused";
}

/** Lines of the same task that tell of an earlier run, or of an earlier step of the same run. */
function causesOfRun(line: StoryLine, byTask: ReadonlyMap<string, readonly StoryLine[]>): StoryLine[] {
  const others = byTask.get(line.fields.task ?? "") ?? [];
  return others.filter((other) => {
    const difference = runOf(other) - runOf(line);
    return difference === 0 ? stepOf(other) < stepOf(line) : difference < 0;
  });
}

function groupByTask(lines: readonly StoryLine[]): ReadonlyMap<string, readonly StoryLine[]> {
  const groups = new Map<string, StoryLine[]>();
  for (const line of lines) {
    const { task } = line.fields;
    if (task === undefined) continue;
    const group = groups.get(task) ?? [];
    group.push(line);
    groups.set(task, group);
  }
  return groups;
}

function runOf({ fields }: StoryLine): number {
  return Number(fields.run ?? Number.NaN);
}

function stepOf({ event }: StoryLine): number {
  return runSteps[event] ?? Number.NaN;
}
