/**
 * Checks which workspaces have used up their share of the pool, once for each workspace and round.
 * @packageDocumentation
 */
import type { OwnerState } from "./owner-state.js";

/** Whether a workspace has recently used up its share of the pool; false for jobs without a workspace. */
export type OverShareCheck = (workspace: string | undefined) => boolean;

/** The check where workspaces are not distinguished. */
export const neverOverShare: OverShareCheck = () => false;

/**
 * Creates the check for one round.
 * @param state - the owner
 * @param now - the monotonic clock
 * @returns the check, which keeps the first result of each workspace for the whole round
 */
export function createOverShareCheck(
  { workspaces }: Pick<OwnerState, "workspaces">,
  now: number,
): OverShareCheck {
  if (workspaces === undefined) return neverOverShare;
  const cache = new Map<string, boolean>();
  return (workspace) => {
    if (workspace === undefined) return false;
    const isOverShare = cache.get(workspace) ?? workspaces.shares.isOverShare(workspace, now);
    cache.set(workspace, isOverShare);
    return isOverShare;
  };
}
