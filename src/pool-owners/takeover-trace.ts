/**
 * Log lines about what an owner knew of each target when it took the pool.
 * @packageDocumentation
 */
import type { LogFields } from "../telemetry/index.js";
import { limitLines } from "./bounded-lines.js";
import type { TakeoverState } from "./owner-record.js";
import type { OwnerState } from "./owner-state.js";

/** The targets of a takeover state, as the new owner found them. */
export class TakeoverTrace {
  readonly #state: OwnerState;
  #inherited: ReadonlySet<string> = new Set();

  /**
   * Creates a trace of an owner that has inherited nothing yet.
   * @param state - the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /**
   * Notes which targets the takeover state lists, for the lines of their sessions.
   * @param takeoverState - the state that the earlier owner left
   */
  note({ targets }: TakeoverState): void {
    this.#inherited = new Set(Object.keys(targets));
  }

  /**
   * Logs and counts what the takeover state says of each target and how long the owner waits for it. The sessions have to be open.
   * @param takeoverState - the state that the earlier owner left
   * @param longestUntil - until when any lease of an earlier owner may last, by the monotonic clock
   */
  report({ targets }: TakeoverState, longestUntil: number): void {
    const { log, metrics, pool } = this.#state;
    for (const { unusedSince } of Object.values(targets))
      metrics.count("targets_inherited_total", { pool, use: unusedSince === undefined ? "used" : "unused" });
    const lines = Object.entries(targets).map(([targetId, record]) =>
      this.#describe(targetId, record, longestUntil),
    );
    const isInUse = ({ unusedSince }: LogFields): boolean => unusedSince === undefined;
    for (const fields of limitLines(lines, isInUse))
      log.write("info", "target-inherited", { pool, ...fields });
  }

  /**
   * Describes a target whose session opens.
   * @param targetId - the target
   * @returns whether the takeover state listed it, and whether tasks of earlier owners wait for it
   */
  describeOpened(targetId: string): LogFields {
    return {
      isInherited: this.#inherited.has(targetId),
      isAwaited: this.#state.awaitedTargets.has(targetId),
    };
  }

  #describe(
    targetId: string,
    { startedAtUnix, unusedSince }: TakeoverState["targets"][string],
    longestUntil: number,
  ): LogFields {
    const session = this.#state.targets.get(targetId)?.session;
    const now = performance.now();
    const until = session?.leaseLapsesAt() ?? now;
    return {
      target: targetId,
      process: startedAtUnix,
      unusedSince,
      waitMilliseconds: Math.round(Math.max(until, longestUntil) - now),
      longRunningWaitMilliseconds: Math.round(until - now),
      leaseBasis: session?.leaseBasis(),
    };
  }
}
