/**
 * Whether this entry may still route by its view of the placement. An entry that neither the store nor a majority of
 * the other entries can correct has to stop, since moves go on without it.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import { delay } from "../shared/index.js";
import type { KnownEntries } from "./known-entries.js";
import { probeView } from "./messages.js";

/** Judges this entry's view. */
export interface ViewConfidence {
  /** Whether this entry may send requests to targets. */
  isConfident(): boolean;
  /** Asks the peers when the store has been silent. */
  step(): Promise<void>;
  /**
   * Steps until it is stopped.
   * @param signal - ends the steps
   */
  run(signal: AbortSignal): Promise<void>;
}

/** What the judgement works with. */
export interface ViewConfidenceParts {
  readonly entryId: string;
  readonly entries: KnownEntries;
  readonly peers: PeerNetwork;
  /** When the view was last compared with the store, in milliseconds since the epoch; 0 before the first time. */
  readonly confirmedAt: () => number;
  /** The time in milliseconds since the epoch. */
  readonly now: () => number;
}

/** The longest time that an entry routes by a view that neither the store nor a majority of entries confirmed. */
export const viewBoundMilliseconds = 8_000;

/** Longer than the mirror takes between two comparisons, so that peers are asked only when the store is silent. */
const probeAfterMilliseconds = 5_500;
const probePeriodMilliseconds = 500;
const probeTimeoutMilliseconds = 1_000;

/**
 * Creates the judgement and answers the peers' probes.
 * @param parts - what it works with
 * @returns the judgement
 */
export function createViewConfidence(parts: ViewConfidenceParts): ViewConfidence {
  const { entryId: self, entries, peers, now } = parts;
  const repliedAt = new Map<string, number>();

  peers.answer(probeView, (_question, peerId) => {
    entries.noteReceived(peerId);
    return {};
  });

  const isWithinBound = (time: number): boolean => now() - time <= viewBoundMilliseconds;

  const receivesFromMajority = (): boolean => {
    const voters = entries.voters();
    const replying = voters.filter(
      (entryId) => entryId === self || isWithinBound(repliedAt.get(entryId) ?? 0),
    );
    return replying.length * 2 > voters.length;
  };

  const probe = async (entryId: string): Promise<void> => {
    // The time of the question bounds how long ago the peer has heard this entry.
    const requestSentAt = now();
    const reply = await peers.call(entryId, probeView, {}, probeTimeoutMilliseconds);
    if (reply.isRight()) repliedAt.set(entryId, requestSentAt);
  };

  const step = async (): Promise<void> => {
    if (now() - parts.confirmedAt() < probeAfterMilliseconds) return;
    const others = entries.all().filter((entryId) => entryId !== self);
    await Promise.all(others.map(probe));
  };

  return {
    step,
    run: async (signal) => {
      while (!signal.aborted) {
        await step();
        await delay(probePeriodMilliseconds, signal);
      }
    },
    isConfident: () => {
      const confirmedAt = parts.confirmedAt();
      if (confirmedAt === 0 && entries.all().length === 1) return false;
      return isWithinBound(confirmedAt) || receivesFromMajority();
    },
  };
}
