/**
 * Tracks which revision each entry has in force, and how long each change took to reach all entries.
 * @packageDocumentation
 */
import type { ConfigurationKeeper } from "./keeper.js";

/** Roll-out progress of one configuration change. */
export interface ChangeProgress {
  readonly revision: number;
  readonly changeId: string;
  /** Milliseconds since the epoch, by the accepting entry's clock. */
  readonly acceptedAt: number;
  /** Time from acceptance until the change was in force in this entry. */
  readonly hereAfterMilliseconds: number;
  /** Time from acceptance until every expected peer had reported the change; undefined until then. */
  readonly everywhereAfterMilliseconds: number | undefined;
  /** Peers that have not yet reported the change as in force; empty once all have. */
  readonly waitingFor: readonly string[];
}

/** Roll-out status of the configuration, as known to this entry. */
export interface RollOutStatus {
  readonly entries: readonly { readonly entryId: string; readonly revision: number }[];
  /** The last changes, newest first. */
  readonly changes: readonly ChangeProgress[];
}

/** Collects the revisions that entries report as in force. */
export interface InForceReport {
  /** Records the revision that a peer reports as in force. */
  noteReceived(peerId: string, revision: number): void;
  /** Returns the revision of each entry and the progress of the last changes. */
  status(): RollOutStatus;
}

interface TrackedChange {
  readonly revision: number;
  readonly changeId: string;
  readonly acceptedAt: number;
  readonly hereAfterMilliseconds: number;
  everywhereAfterMilliseconds: number | undefined;
}

/** Bounds the memory and the size of the status; older changes are dropped from the report. */
const maximumTrackedChanges = 100;

/**
 * Creates a report that follows the keeper's changes.
 * @param keeper - the configuration in force in this entry
 * @param selfId - identifier of this entry
 * @param expectedPeers - lists the identifiers of the peers that a change has to reach
 * @returns the report, without changes and with revision 0 for each peer that has reported none
 */
export function createInForceReport(
  keeper: ConfigurationKeeper,
  selfId: string,
  expectedPeers: () => readonly string[],
): InForceReport {
  const revisions = new Map<string, number>();
  const changes: TrackedChange[] = [];

  const findWaiting = (revision: number): string[] =>
    expectedPeers().filter((peerId) => (revisions.get(peerId) ?? 0) < revision);

  const recordCompletions = (): void => {
    for (const change of changes) {
      if (change.everywhereAfterMilliseconds !== undefined || findWaiting(change.revision).length > 0)
        continue;
      change.everywhereAfterMilliseconds = Date.now() - change.acceptedAt;
    }
  };

  keeper.events.on("inForce", ({ revision, changeId, acceptedAt }) => {
    const hereAfterMilliseconds = Date.now() - acceptedAt;
    const everywhereAfterMilliseconds = undefined;
    changes.unshift({ revision, changeId, acceptedAt, hereAfterMilliseconds, everywhereAfterMilliseconds });
    changes.splice(maximumTrackedChanges);
    recordCompletions();
  });

  return {
    noteReceived: (peerId, revision) => {
      revisions.set(peerId, revision);
      recordCompletions();
    },
    status: () => ({
      entries: [
        { entryId: selfId, revision: keeper.revision() },
        ...expectedPeers().map((entryId) => ({ entryId, revision: revisions.get(entryId) ?? 0 })),
      ],
      changes: changes.map((change) => ({
        ...change,
        waitingFor: change.everywhereAfterMilliseconds === undefined ? findWaiting(change.revision) : [],
      })),
    }),
  };
}
