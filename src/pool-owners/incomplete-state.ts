/**
 * The wait of an owner whose predecessor's takeover state could not be read: any target of the pool may have runs.
 * @packageDocumentation
 */
import { unlistedTargets } from "./awaited-targets.js";
import type { OwnerState } from "./owner-state.js";

/** How long runs may last on targets that the owner does not know of. */
export interface UnlistedRuns {
  /** For long-running tasks, in milliseconds. */
  readonly longRunningMilliseconds: number;
  /** For all other tasks, in milliseconds. */
  readonly milliseconds: number;
}

/**
 * Holds back the tasks of earlier owners' jobs until no run of them can last on a target that the takeover state does not list.
 * @param state - the owner
 * @param runs - how long such runs may last
 * @param onEnded - called when the wait is over
 * @returns a function that ends the wait; nothing is called any more
 */
export function awaitUnlistedTargets(
  state: OwnerState,
  { longRunningMilliseconds, milliseconds }: UnlistedRuns,
  onEnded: () => void,
): () => void {
  const { awaitedTargets: awaited, log, pool } = state;
  log.write("error", "takeover-state-incomplete", {
    pool,
    waitMilliseconds: milliseconds,
    longRunningWaitMilliseconds: longRunningMilliseconds,
  });
  awaited.add(unlistedTargets, Number.POSITIVE_INFINITY);
  const timers = [
    setTimeout(() => {
      awaited.endLongRunning(unlistedTargets);
      state.wake();
    }, longRunningMilliseconds),
    setTimeout(() => {
      awaited.delete(unlistedTargets);
      log.write("info", "takeover-state-complete", { pool, left: awaited.size() });
      onEnded();
      state.wake();
    }, milliseconds),
  ];
  for (const timer of timers) timer.unref();
  return () => {
    for (const timer of timers) clearTimeout(timer);
  };
}
