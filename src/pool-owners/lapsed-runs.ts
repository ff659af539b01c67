/**
 * What becomes of the runs on a target that does not answer, once the leases that owners requested for them have lapsed.
 * @packageDocumentation
 */
import type { FormerLeases } from "./former-leases.js";
import { removeRun, type OwnerState } from "./owner-state.js";
import type { PoolTarget } from "./pool-target.js";
import { reportRelease } from "./release-trace.js";

/**
 * Drops the runs on a target that does not answer and whose requested leases have lapsed, except for starts that no report has
 * shown: a later process, of which the owner does not know, may have carried them out under the longest lease. Long-running
 * tasks are dropped at once: they have to run again within seconds, and reports show them soon after their start.
 * @param state - the owner
 * @param target - the target
 * @param leases - the leases that a later process may hold
 * @returns until when the other starts have to be waited for, by the monotonic clock; undefined when there are none
 */
export function releaseLapsedRuns(
  state: OwnerState,
  target: PoolTarget,
  leases: FormerLeases,
): number | undefined {
  const { session } = target;
  const requestedAt = session.leaseRequestedAt();
  if (requestedAt === undefined) return releaseLongRunning(state, target, leases);
  const until = requestedAt + leases.longestMilliseconds;
  const runs = [...target.runs.values()];
  const unlisted = runs.filter(({ task, run }) => !run.isListed && !task.definition.isLasting);
  if (unlisted.length === 0 || until <= performance.now()) return undefined;
  const lapsed = runs.filter((each) => !unlisted.includes(each));
  const isAwaited = state.awaitedTargets.delete(session.targetId);
  reportRelease(state, target, "lease-lapsed", { dropped: lapsed, isAwaited, kept: unlisted.length });
  for (const each of lapsed) removeRun(state, target, each);
  state.log.write("info", "target-runs-lapsed", {
    pool: state.pool,
    target: session.targetId,
    lapsed: lapsed.length,
    unlisted: unlisted.length,
    waitMilliseconds: Math.round(until - performance.now()),
  });
  state.wake();
  return until;
}

/**
 * Releases long-running tasks of earlier owners that were on a target which has never answered this owner. Other tasks are
 * waited for until the longest lease has ended: the target may have restarted without the notice of any owner, and a lease that
 * its new process took from a former owner's order is the longest.
 */
function releaseLongRunning(
  state: OwnerState,
  target: PoolTarget,
  { ofEarlierOwnersUntil: until }: FormerLeases,
): number | undefined {
  const { awaitedTargets: awaited } = state;
  const { session } = target;
  if (!awaited.has(session.targetId) || session.isKnown() || until <= performance.now()) return undefined;
  awaited.endLongRunning(session.targetId);
  reportRelease(state, target, "requested-lease-lapsed", { dropped: [], isAwaited: true, kept: 0 });
  state.wake();
  return until;
}
