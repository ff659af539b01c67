/**
 * Selects the log lines about targets that belong to a second start of a task: what the earlier owner had stored of the target of
 * the first start, and what the next owner knew of it.
 * @packageDocumentation
 */
import type { TimelineLine } from "./job-timeline.js";
import { groupByTask } from "./timeline-causes.js";

/** What an owner logs of a target at its takeover and while it waits. */
const takeoverEvents = new Set([
  "home-taken",
  "target-inherited",
  "target-session-opened",
  "inherited-target-known",
  "target-runs-released",
]);
const recordEvent = "target-record-changed";
const lostEvent = "home-lost";
/** A process opens its session before it takes pools; one that was killed has logged no loss. */
const sessionEvent = "entry-session-opened";
const lineEvents = [...takeoverEvents, recordEvent, lostEvent, sessionEvent].map(
  (event) => `event=${event} `,
);

/** Targets of the runs of a task that came before a start by a later owner, by task. */
export type FormerTargets = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Checks without parsing whether a line may be about a takeover.
 * @param text - the unparsed line
 * @returns false for lines that {@link TakeoverLines.note} has no use for
 */
export function mayBeTakeoverLine(text: string): boolean {
  return lineEvents.some((event) => text.includes(event));
}

/**
 * Finds the targets of the runs that a later owner's starts follow.
 * @param lines - the lines of one job from all logs
 * @returns the targets by task, without the tasks that no later owner has started
 */
export function findFormerTargets(lines: readonly TimelineLine[]): FormerTargets {
  const found = new Map<string, Set<string>>();
  for (const [task, ofTask] of groupByTask(lines)) {
    const runs = ofTask.filter(isLaterOwnersStart).map(({ fields }) => Number(fields.run));
    if (runs.length === 0) continue;
    const last = Math.max(...runs);
    const earlier = ofTask.filter(({ fields }) => Number(fields.run) < last);
    found.set(task, new Set(earlier.flatMap(({ fields }) => fields.target ?? [])));
  }
  return found;
}

function isLaterOwnersStart({ event, fields }: TimelineLine): boolean {
  return event === "start-order" && fields.startBasis !== undefined;
}

/** The last line of each kind and target, by pool, since the owner of one log took the pool. */
export class TakeoverLines {
  readonly #former: FormerTargets;
  readonly #byPool = new Map<string, Map<string, TimelineLine>>();
  /** Whether the log's owner had the job before, or is one that started its tasks again; undefined before its first line. */
  #owner: "earlier" | "later" | undefined;

  /**
   * Creates an empty set of lines of one log.
   * @param former - the targets whose lines are wanted
   */
  constructor(former: FormerTargets) {
    this.#former = former;
  }

  /**
   * Notes a line that may be about a takeover; the lines have to be noted in their order.
   * @param line - the line
   * @returns the lines to list there: the last records of the targets, where the owner loses the pool
   */
  note(line: TimelineLine): readonly TimelineLine[] {
    const { event, fields } = line;
    const pool = fields.pool ?? "";
    if (event === sessionEvent) return this.end();
    if (event === lostEvent) return this.#endTerm(pool);
    const ofPool = this.#byPool.get(pool) ?? new Map<string, TimelineLine>();
    this.#byPool.set(pool, ofPool);
    const key = `${event} ${fields.target ?? ""}`;
    // Removed first, so that the lines keep the order of the log.
    ofPool.delete(key);
    ofPool.set(key, line);
    return [];
  }

  /**
   * Removes and returns what the owner knew when it logged a line of the job.
   * @param line - the line
   * @returns the lines of the takeover, before a start of a task that an earlier owner may have started; else none
   */
  take(line: TimelineLine): readonly TimelineLine[] {
    if (!isLaterOwnersStart(line)) {
      this.#owner ??= "earlier";
      return [];
    }
    this.#owner = "later";
    const { task = "", target = "" } = line.fields;
    const targets = this.#former.get(task) ?? new Set();
    if (targets.size === 0) return [];
    const ofPool = [...this.#byPool.values()].find((lines) => lines.has(`target-session-opened ${target}`));
    const isWanted = ({ event, fields }: TimelineLine): boolean =>
      takeoverEvents.has(event) && (fields.target === undefined || targets.has(fields.target));
    return removeLines(ofPool, isWanted);
  }

  /** Removes all lines and returns the last records of the targets, where the log or a process in it ends. */
  end(): readonly TimelineLine[] {
    const records = [...this.#byPool.keys()].flatMap((pool) => this.#endTerm(pool));
    this.#owner = undefined;
    return records;
  }

  #endTerm(pool: string): readonly TimelineLine[] {
    const ofPool = this.#byPool.get(pool);
    this.#byPool.delete(pool);
    if (this.#owner !== "earlier") return [];
    const targets = new Set([...this.#former.values()].flatMap((each) => [...each]));
    return removeLines(
      ofPool,
      ({ event, fields }) => event === recordEvent && targets.has(fields.target ?? ""),
    );
  }
}

function removeLines(
  lines: Map<string, TimelineLine> | undefined,
  isWanted: (line: TimelineLine) => boolean,
): readonly TimelineLine[] {
  const wanted = [...(lines ?? [])].filter(([, line]) => isWanted(line));
  for (const [key] of wanted) lines?.delete(key);
  return wanted.map(([, line]) => line);
}
