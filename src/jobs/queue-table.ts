/**
 * The operators' configuration of queues and pools.
 * @packageDocumentation
 */
import type { WorkspaceTable } from "../workspaces/index.js";
import type { QueueTerms } from "./definition.js";

/** A queue that callers hand jobs to. */
export interface Queue {
  readonly terms: QueueTerms;
  readonly host: string;
  /** Paths of the queue begin with it. */
  readonly pathPrefix: string;
  readonly timeoutMilliseconds: number;
  /** Whether its calls must carry the key of a workspace, to which their jobs then belong. */
  readonly requiresKey?: boolean | undefined;
}

/** A pool of targets. */
export interface PoolTerms {
  readonly pool: string;
  /** Whether its targets refuse what does not fit. */
  readonly enforcesCapacity: boolean;
  /** Whether its instances are switched off until they move to another pool. */
  readonly isStandby: boolean;
}

/** Limits on callers' requests. */
export interface RequestLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** The configuration in force. */
export interface QueueTable {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly pools: readonly PoolTerms[];
  readonly limits: RequestLimits;
  /** Undefined where callers are not told apart. */
  readonly workspaces?: WorkspaceTable | undefined;
}

/**
 * Finds the queue of a request: the longest prefix among those of the host.
 * @param table - the configuration in force
 * @param host - the request's host without port
 * @param path - the request's path
 * @returns the queue, undefined when there is none
 */
export function findQueue(table: QueueTable, host: string, path: string): Queue | undefined {
  let found: Queue | undefined;
  for (const queue of table.queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
    if (found === undefined || queue.pathPrefix.length > found.pathPrefix.length) found = queue;
  }
  return found;
}
