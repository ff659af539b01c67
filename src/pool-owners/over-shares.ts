/**
 * Which workspaces have had their share of the pool, read once for a round.
 * @packageDocumentation
 */
import type { OwnerState } from "./owner-state.js";

/** Tells whether a workspace has lately had its share; false for jobs without one. */
export type OverShares = (workspace: string | undefined) => boolean;

/** The answer where nobody tells workspaces apart. */
export const noOverShares: OverShares = () => false;

/**
 * Begins a round.
 * @param state - the owner
 * @param now - the monotonic clock
 * @returns what holds in this round
 */
export function readOverShares({ workspaces }: Pick<OwnerState, "workspaces">, now: number): OverShares {
  if (workspaces === undefined) return noOverShares;
  const known = new Map<string, boolean>();
  return (workspace) => {
    if (workspace === undefined) return false;
    const isOverShare = known.get(workspace) ?? workspaces.shares.isOverShare(workspace, now);
    known.set(workspace, isOverShare);
    return isOverShare;
  };
}
