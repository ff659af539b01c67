/**
 * What the owner of a pool works with where workspaces are configured.
 * @packageDocumentation
 */
import type { Resources } from "../jobs/index.js";
import type { WorkspaceTable } from "./workspace.js";

/**
 * What a pool may run of each workspace: the pools of a fleet divide a workspace's cap among them, so that all together
 * stay within it while each decides alone.
 */
export interface PoolQuotas {
  /**
   * Begins a round of placing.
   * @param usage - what may be running here, by workspace; runs whose end is not known count
   * @param now - the monotonic clock
   * @param unseen - what an earlier owner may have started besides, on targets that have not answered yet
   */
  beginRound(
    usage: ReadonlyMap<string, Resources>,
    now: number,
    unseen?: ReadonlyMap<string, Resources>,
  ): void;
  /**
   * Tells how many like tasks of a workspace may start now; what may not is asked for from the other pools.
   * @param workspace - the workspace's name
   * @param needs - what one task takes
   * @param wanted - how many would like to start
   * @returns at most `wanted`, 0 for a workspace that is not configured
   */
  countAllowed(workspace: string, needs: Resources, wanted: number): number;
  /** Takes the room of tasks that are started in this round. */
  take(workspace: string, needs: Resources, count: number): void;
  /**
   * Reads what the pool could run of a workspace: its share, and what no pool holds.
   * @param workspace - the workspace's name
   * @returns the room, with what already runs there; infinite for a resource without a limit; undefined for a workspace
   * without a cap
   */
  room(workspace: string): Resources | undefined;
}

/** What a workspace is given of a pool, in cores. */
export interface ShareRates {
  /** Work accepted a second, over about the last one. */
  readonly givenCores: number;
  /** Its part of the pool; infinite while the pool has enough for all. */
  readonly allowedCores: number;
}

/** How a full pool is shared between the workspaces that have work for it. */
export interface FairShares {
  /** Takes work that a workspace asks for, accepted or not, in core-seconds. */
  noteRequested(workspace: string, coreSeconds: number, now: number): void;
  /** Takes work that was accepted. */
  noteAccepted(workspace: string, coreSeconds: number, now: number): void;
  /** Tells whether a workspace has lately had its share of the pool, so that others go first. */
  isOverShare(workspace: string, now: number): boolean;
  /** How long it takes until a workspace that is over its share is within it again, in milliseconds. */
  waitMilliseconds(workspace: string, now: number): number;
  /** What a workspace is given, and what it may have. */
  rates(workspace: string, now: number): ShareRates;
}

/** What an owner works with where workspaces are configured. */
export interface OwnerWorkspaces {
  /** The workspaces of the newest configuration; undefined when it holds none. */
  readonly table: () => WorkspaceTable | undefined;
  readonly quotas: PoolQuotas;
  readonly shares: FairShares;
}
