/**
 * Decides whether this entry may still route by its view of the placement. An entry that can receive corrections from
 * neither the store nor a majority of the entries must stop, because moves continue without it.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import { delay } from "../shared/index.js";
import type { KnownEntries } from "./known-entries.js";
import { probeView } from "./messages.js";

/** Tracks whether this entry's placement view is recent enough for routing. */
export interface ViewConfidence {
  /** Whether this entry may send requests to targets. */
  isConfident(): boolean;
  /** Probes the peers when the view has not been compared with the store recently. */
  step(): Promise<void>;
  /**
   * Calls {@link ViewConfidence.step} periodically.
   * @param signal - stops the calls
   */
  run(signal: AbortSignal): Promise<void>;
}

/** Dependencies of {@link createViewConfidence}. */
export interface ViewConfidenceParts {
  readonly entryId: string;
  readonly entries: KnownEntries;
  readonly peers: PeerNetwork;
  /** Time of the view's last comparison with the store, in milliseconds since the epoch; 0 before the first one. */
  readonly confirmedAt: () => number;
  /** Current time in milliseconds since the epoch. */
  readonly now: () => number;
}

/** Longest time for which an entry routes by a view that neither the store nor a majority of the entries confirmed. */
export const viewBoundMilliseconds = 8_000;

/** Longer than the mirror's interval between two comparisons, so that peers are probed only when the store fails. */
const probeAfterMilliseconds = 5_500;
const probePeriodMilliseconds = 500;
const probeTimeoutMilliseconds = 1_000;

/**
 * Creates the tracker and registers the call by which peers probe this entry.
 * @param parts - dependencies
 * @returns the tracker
 */
export function createViewConfidence(parts: ViewConfidenceParts): ViewConfidence {
  const { entryId: self, entries, peers, now } = parts;
  const repliedAt = new Map<string, number>();

  peers.answer(probeView, (_request, peerId) => {
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
    // The time of sending, not of the reply, is a lower bound for when the peer received the probe.
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
