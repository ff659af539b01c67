/**
 * The jobs of a pool as the store holds them.
 * @packageDocumentation
 */
import type { JobRecord, ProgressRecord } from "../jobs/index.js";
import type { CancellationRecord } from "./early-cancellations.js";

/** The stored jobs of a pool. */
export interface StoredJobs {
  readonly records: readonly JobRecord[];
  /** Store revision of each record, by job id. */
  readonly revisions: ReadonlyMap<string, number>;
  readonly progress: ReadonlyMap<string, ProgressRecord>;
  /** Jobs whose progress cannot be read, which are not among `records`. */
  readonly unreadable: ReadonlySet<string>;
  /** Identifiers that were cancelled before a job with them was accepted. */
  readonly cancellations: readonly CancellationRecord[];
}
