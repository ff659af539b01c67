/**
 * Which entries have which revision in force, and how long each change took.
 * @packageDocumentation
 */
import type { ConfigurationKeeper } from "./keeper.js";

/** How far a change has come. */
export interface ChangeProgress {
  readonly revision: number;
  readonly changeId: string;
  /** Milliseconds since the epoch, by the accepting entry's clock. */
  readonly acceptedAt: number;
  /** How long after the acceptance it was in force here. */
  readonly hereAfterMilliseconds: number;
  /** How long after the acceptance every expected entry was known to have it; undefined until then. */
  readonly everywhereAfterMilliseconds: number | undefined;
  /** Entries not known to have it in force. */
  readonly waitingFor: readonly string[];
}

/** What is known of the configuration's roll-out. */
export interface RollOutStatus {
  readonly entries: readonly { readonly entryId: string; readonly revision: number }[];
  /** The newest changes first. */
  readonly changes: readonly ChangeProgress[];
}

/** Collects what entries say they have in force. */
export interface InForceReport {
  /** Takes the revision that a peer says it has in force. */
  noteReceived(peerId: string, revision: number): void;
  /** Summarises what is known. */
  status(): RollOutStatus;
}

interface TrackedChange {
  readonly revision: number;
  readonly changeId: string;
  readonly acceptedAt: number;
  readonly hereAfterMilliseconds: number;
  everywhereAfterMilliseconds: number | undefined;
}

const maximumTrackedChanges = 100;

/**
 * Creates a report.
 * @param keeper - the configuration in force here
 * @param selfId - this entry
 * @param expectedPeers - the peers that ought to have it in force
 * @returns the report
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
