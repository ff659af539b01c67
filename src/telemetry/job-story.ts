/**
 * Picks one job's lines from the logs of many processes and puts them in the order of cause and effect.
 * @packageDocumentation
 */
import { parseLogLine } from "./log-line.js";
import { findCauses } from "./story-causes.js";

/** One line of a log, with what orders it. */
export interface StoryLine {
  /** Where the line stands: the log's name. */
  readonly source: string;
  /** The line's time as text, which sorts as the time does. */
  readonly time: string;
  readonly event: string;
  /** The values of the line by name. */
  readonly fields: Readonly<Partial<Record<string, string>>>;
  /** The whole line. */
  readonly text: string;
}

/**
 * Picks the lines of a job and of its tasks.
 * @param logs - the text of each log, by name; each is the log of one process
 * @param jobId - the job's identifier
 * @returns the lines: those of one log in its order, across logs effects after their causes, an answer to the caller right
 * after its cause, and else by their clocks
 */
export function readJobStory(logs: ReadonlyMap<string, string>, jobId: string): StoryLine[] {
  const queues = [...logs].map(([source, text]) => readLines(source, text, jobId));
  return mergeByCause(queues);
}

function readLines(source: string, text: string, jobId: string): StoryLine[] {
  return text.split("\n").flatMap((line) => {
    // Most lines are about other jobs.
    if (!line.includes(jobId)) return [];
    const fields = Object.fromEntries(parseLogLine(line));
    if (!isAbout(fields, jobId)) return [];
    return [{ source, time: fields.time ?? "", event: fields.event ?? "", fields, text: line }];
  });
}

function isAbout({ job, task }: StoryLine["fields"], jobId: string): boolean {
  return job === jobId || task?.startsWith(`${jobId}.`) === true;
}

/** Takes, time after time, the earliest first line of a log whose causes have all been taken. */
function mergeByCause(queues: readonly (readonly StoryLine[])[]): StoryLine[] {
  const causes = findCauses(queues.flat());
  const taken = new Set<StoryLine>();
  const positions = queues.map(() => 0);
  const isReady = (line: StoryLine): boolean => causes.get(line)?.every((cause) => taken.has(cause)) ?? true;
  for (;;) {
    const heads = queues.flatMap((queue, index) => {
      const line = queue[positions[index] ?? 0];
      return line === undefined ? [] : [{ index, line }];
    });
    // Lines that wait for each other, which a lost line can bring about, go by their clocks.
    const ready = heads.filter(({ line }) => isReady(line));
    // What a caller is told follows what was decided, whatever else goes on meanwhile.
    const answer = ready.find(({ line }) => line.event === "job-submitted" && causes.get(line)?.length !== 0);
    const next = answer ?? findEarliest(ready.length > 0 ? ready : heads);
    if (next === undefined) return [...taken];
    taken.add(next.line);
    positions[next.index] = (positions[next.index] ?? 0) + 1;
  }
}

interface Head {
  readonly index: number;
  readonly line: StoryLine;
}

function findEarliest(heads: readonly Head[]): Head | undefined {
  const [first, ...others] = heads;
  if (first === undefined) return undefined;
  return others.reduce((best, head) => (head.line.time < best.line.time ? head : best), first);
}
