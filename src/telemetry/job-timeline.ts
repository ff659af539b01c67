/**
 * Builds the timeline of one job: selects its lines from the logs of many processes and merges them in causal order.
 * @packageDocumentation
 */
import { parseLogLine } from "./log-line.js";
import { TakeoverLines, findFormerTargets, mayBeTakeoverLine, type FormerTargets } from "./takeover-lines.js";
import { findCauses } from "./timeline-causes.js";

/** One log line of a job, with the values by which the timeline is sorted. */
export interface TimelineLine {
  /** Name of the log that contains the line. */
  readonly source: string;
  /** Timestamp in ISO 8601 format (UTC), so that string order is time order; empty if the line has none. */
  readonly time: string;
  readonly event: string;
  /** Parsed key=value pairs of the line. */
  readonly fields: Readonly<Partial<Record<string, string>>>;
  /** The unparsed line. */
  readonly text: string;
}

/**
 * Selects and orders the log lines of a job and its tasks.
 * @param logs - content of each log by its name; each log must come from a single process
 * @param jobId - identifier that the lines must carry, exactly or as the prefix of a task name
 * @returns the lines in causal order, with the releases of targets that its starts name and, where a later owner has started a
 * task again, the lines about its takeover: lines of one log keep their order, across logs an effect follows its causes, the
 * response to the caller comes as soon as its causes are listed, and all other lines are ordered by timestamp
 */
export function readJobTimeline(logs: ReadonlyMap<string, string>, jobId: string): TimelineLine[] {
  const jobLines = [...logs].flatMap(([source, text]) => readJobLines(source, text, jobId));
  const former = findFormerTargets(jobLines);
  const queues = [...logs].map(([source, text]) => readLines(source, text, jobId, former));
  return mergeByCause(queues);
}

function readJobLines(source: string, text: string, jobId: string): TimelineLine[] {
  return text.split("\n").flatMap((line) => readJobLine(source, line, jobId) ?? []);
}

/** Reads a line; returns undefined if it does not concern the job. */
function readJobLine(source: string, line: string, jobId: string): TimelineLine | undefined {
  // Cheap check before parsing: most lines concern other jobs.
  if (!line.includes(jobId)) return undefined;
  const found = readLine(source, line);
  return concernsJob(found.fields, jobId) ? found : undefined;
}

/** Reads the lines of the job, and those about targets that explain them. */
function readLines(source: string, text: string, jobId: string, former: FormerTargets): TimelineLine[] {
  const releases = new Releases();
  const takeover = new TakeoverLines(former);
  const listed = text.split("\n").flatMap((line) => {
    if (mayBeTakeoverLine(line)) {
      const found = readLine(source, line);
      if (found.event === releaseEvent) releases.note(found);
      return takeover.note(found);
    }
    const found = readJobLine(source, line, jobId);
    return found === undefined ? [] : [...takeover.take(found), ...releases.take(found), found];
  });
  // A release may be named by a start and belong to the takeover before it.
  return [...new Set([...listed, ...takeover.end()])];
}

function readLine(source: string, text: string): TimelineLine {
  const fields = Object.fromEntries(parseLogLine(text));
  return { source, time: fields.time ?? "", event: fields.event ?? "", fields, text };
}

/** Logged when the runs on a target count as ended; it names no task. */
const releaseEvent = "target-runs-released";

/** The last release of each target, for the starts that follow it. */
class Releases {
  readonly #byTarget = new Map<string, TimelineLine>();

  note(line: TimelineLine): void {
    this.#byTarget.set(line.fields.target ?? "", line);
  }

  /** Removes and returns the release that a start names; empty when it names none. */
  take({ fields: { afterTarget } }: TimelineLine): readonly TimelineLine[] {
    const release = this.#byTarget.get(afterTarget ?? "");
    if (afterTarget === undefined || release === undefined) return [];
    this.#byTarget.delete(afterTarget);
    return [release];
  }
}

function concernsJob({ job, task }: TimelineLine["fields"], jobId: string): boolean {
  return job === jobId || task?.startsWith(`${jobId}.`) === true;
}

/** Merges the logs: repeatedly emits the earliest next line of any log whose causes have all been emitted. */
function mergeByCause(queues: readonly (readonly TimelineLine[])[]): TimelineLine[] {
  const causes = findCauses(queues.flat());
  const emitted = new Set<TimelineLine>();
  const positions = queues.map(() => 0);
  const isReady = (line: TimelineLine): boolean =>
    causes.get(line)?.every((cause) => emitted.has(cause)) ?? true;
  for (;;) {
    const heads = queues.flatMap((queue, index) => {
      const line = queue[positions[index] ?? 0];
      return line === undefined ? [] : [{ index, line }];
    });
    // If the next lines depend on each other in a cycle, as lost log lines can cause, fall back to timestamps.
    const ready = heads.filter(({ line }) => isReady(line));
    // The response to the caller is listed as soon as its causes are, regardless of timestamps.
    const response = ready.find(
      ({ line }) => line.event === "job-submitted" && causes.get(line)?.length !== 0,
    );
    const next = response ?? findEarliest(ready.length > 0 ? ready : heads);
    if (next === undefined) return [...emitted];
    emitted.add(next.line);
    positions[next.index] = (positions[next.index] ?? 0) + 1;
  }
}

interface Head {
  readonly index: number;
  readonly line: TimelineLine;
}

function findEarliest(heads: readonly Head[]): Head | undefined {
  const [first, ...others] = heads;
  if (first === undefined) return undefined;
  return others.reduce((best, head) => (head.line.time < best.line.time ? head : best), first);
}
