/**
 * The operators' configuration of queues and pools.
 * @packageDocumentation
 */
import type { WorkspaceTable } from "../workspaces/index.js";
import type { QueueTerms } from "./definition.js";

/** A queue to which callers submit jobs. */
export interface Queue {
  readonly terms: QueueTerms;
  readonly host: string;
  /** Requests whose path begins with this belong to the queue. */
  readonly pathPrefix: string;
  readonly timeoutMilliseconds: number;
  /** Whether requests must carry the key of a workspace, to which the submitted jobs then belong. */
  readonly requiresKey?: boolean | undefined;
}

/** A pool of targets. */
export interface PoolTerms {
  readonly pool: string;
  /** Whether its targets refuse tasks that exceed their capacity. */
  readonly enforcesCapacity: boolean;
  /** Whether its instances stay switched off until they move to another pool. */
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
  /** Undefined where callers are not distinguished by workspace. */
  readonly workspaces?: WorkspaceTable | undefined;
}

/**
 * Finds the queue of a request: of the host's queues, the one with the longest matching path prefix.
 * @param table - the configuration in force
 * @param host - the request's host, without port
 * @param path - the request's path
 * @returns the queue, undefined when no queue matches
 */
export function findQueue(table: QueueTable, host: string, path: string): Queue | undefined {
  let found: Queue | undefined;
  for (const queue of table.queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
    if (found === undefined || queue.pathPrefix.length > found.pathPrefix.length) found = queue;
  }
  return found;
}
