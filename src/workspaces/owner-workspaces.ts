/**
 * Interfaces through which the owner of a pool applies quotas and fair shares of workspaces.
 * @packageDocumentation
 */
import type { Resources } from "../jobs/index.js";
import type { WorkspaceTable } from "./workspace.js";

/**
 * Limits on what a pool may run for each workspace. The pools of a fleet divide a workspace's cap among themselves, so
 * that together they stay within it although each decides alone.
 */
export interface PoolQuotas {
  /**
   * Begins a placement round.
   * @param usage - resources that may be in use in the pool, by workspace, including runs whose end is not known
   * @param now - monotonic time in milliseconds
   * @param unseen - further resources, by workspace, of runs that an earlier owner may have started on targets that have
   * not answered this owner yet
   */
  beginRound(
    usage: ReadonlyMap<string, Resources>,
    now: number,
    unseen?: ReadonlyMap<string, Resources>,
  ): void;
  /**
   * Counts the identical tasks of a workspace that may start now. For the others the pool requests a larger share.
   * @param workspace - the workspace's name
   * @param needs - the resources of one task
   * @param wanted - the number of tasks that are ready to start
   * @returns at most `wanted`; 0 for a workspace that is not configured
   */
  countAllowed(workspace: string, needs: Resources, wanted: number): number;
  /** Reserves quota for tasks that are started in this round. */
  take(workspace: string, needs: Resources, count: number): void;
  /**
   * Returns the resources that the pool could use for a workspace: its share and what no pool holds, or the part of the
   * cap that it would get by requesting it.
   * @param workspace - the workspace's name
   * @returns the resources, including those in use; infinite for a resource without a limit; undefined for a workspace
   * without a cap
   */
  room(workspace: string): Resources | undefined;
}

/** A workspace's use of a pool, in cores. */
export interface ShareRates {
  /** Core-seconds accepted a second, averaged over about the last second. */
  readonly givenCores: number;
  /** The workspace's part of the pool; infinite while the pool can serve all demands. */
  readonly allowedCores: number;
}

/** Weighted sharing of a full pool among the workspaces with work for it. Times are monotonic, in milliseconds. */
export interface FairShares {
  /** Notes work that a workspace requests, accepted or not, in core-seconds. */
  noteRequested(workspace: string, coreSeconds: number, now: number): void;
  /** Notes accepted work, in core-seconds. */
  noteAccepted(workspace: string, coreSeconds: number, now: number): void;
  /** Whether a workspace has recently exceeded its share of the pool, so that others are served first. */
  isOverShare(workspace: string, now: number): boolean;
  /** Milliseconds until a workspace that is over its share is within it again; 0 for one within its share. */
  waitMilliseconds(workspace: string, now: number): number;
  /** Returns the rate of accepted work of a workspace and its part of the pool. */
  rates(workspace: string, now: number): ShareRates;
}

/** The workspace functions of a pool's owner. */
export interface OwnerWorkspaces {
  /** Returns the workspaces of the newest configuration; undefined when none are configured. */
  readonly table: () => WorkspaceTable | undefined;
  readonly quotas: PoolQuotas;
  readonly shares: FairShares;
}
