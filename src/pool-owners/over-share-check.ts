/**
 * Which workspaces have had their share of the pool, read once for a round.
 * @packageDocumentation
 */
import type { OwnerState } from "./owner-state.js";

/** Tells whether a workspace has lately had its share; false for jobs without one. */
export type OverShareCheck = (workspace: string | undefined) => boolean;

/** The answer where nobody tells workspaces apart. */
export const neverOverShare: OverShareCheck = () => false;

/**
 * Begins a round.
 * @param state - the owner
 * @param now - the monotonic clock
 * @returns what holds in this round
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
