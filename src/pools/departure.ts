/**
 * Decides whether every entry has stopped sending requests to a leaving instance.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import type { KnownEntries } from "./known-entries.js";
import { silenceCall, confirmLeaving } from "./messages.js";
import type { Target } from "./placement-record.js";
import type { PlacementView } from "./placement-view.js";
import { viewBoundMilliseconds } from "./view-confidence.js";

/** Check that a leaving instance receives no more requests. */
export interface DepartureCheck {
  /**
   * Queries all known entries.
   * @param target - the leaving instance in this entry's view
   * @returns true when no entry sends to the instance and none has a request in progress there
   */
  isConfirmed(target: Target): Promise<boolean>;
}

/** Dependencies of {@link createDepartureCheck}. */
export interface DepartureCheckParts {
  readonly entryId: string;
  readonly view: PlacementView;
  readonly entries: KnownEntries;
  readonly peers: PeerNetwork;
  /** Current time in milliseconds since the epoch. */
  readonly now: () => number;
  /** Number of requests that this entry has in progress on an instance. */
  inProgress(instanceId: string): number;
}

const callTimeoutMilliseconds = 1_000;
/** Margin beyond the time for which an entry may route by an unconfirmed view. */
const marginMilliseconds = 2_000;
/** Longest timeout that a caller may set for an accepted request. */
const maximumRequestMilliseconds = 600_000;

/** Silence after which an entry sends no new requests, even if it has granted slots. */
export const routingSilenceMilliseconds = viewBoundMilliseconds + marginMilliseconds;
/** Silence after which an entry also has no request in progress. */
export const requestSilenceMilliseconds = routingSilenceMilliseconds + maximumRequestMilliseconds;

interface Confirmation {
  /** The entry's view shows the instance as leaving and the entry has no request in progress there. */
  readonly confirmed: boolean;
  /** The entry replied. */
  readonly reached: boolean;
  readonly knownEntries: readonly string[];
}

const unreachedConfirmation: Confirmation = { confirmed: false, reached: false, knownEntries: [] };

/**
 * Creates the check and registers the peer calls that report this entry's own requests.
 * @param parts - dependencies
 * @returns the check
 */
export function createDepartureCheck(parts: DepartureCheckParts): DepartureCheck {
  const { entryId: self, view, entries, peers } = parts;
  const firstSeen = new Map<string, { readonly departure: string; readonly at: number }>();

  peers.answer(confirmLeaving, ({ zone, instanceId, revision }) => ({
    seen: view.revision(zone) >= revision,
    inProgress: parts.inProgress(instanceId),
    knownEntries: [...entries.all()],
  }));
  peers.answer(silenceCall, ({ entryId }) => ({ milliseconds: silenceOf(entryId) }));

  const silenceOf = (entryId: string): number => (entryId === self ? 0 : entries.silence(entryId));

  const queryEntry = async (entryId: string, target: Target, revision: number): Promise<Confirmation> => {
    if (entryId === self) {
      const confirmed = parts.inProgress(target.instanceId) === 0;
      return { confirmed, reached: true, knownEntries: entries.all() };
    }
    const query = { zone: target.zone, instanceId: target.instanceId, revision };
    const reply = await peers.call(entryId, confirmLeaving, query, callTimeoutMilliseconds);
    return reply
      .map(({ seen, inProgress, knownEntries }): Confirmation => ({
        confirmed: seen && inProgress === 0,
        reached: true,
        knownEntries,
      }))
      .orDefault(unreachedConfirmation);
  };

  const queryAllEntries = async (target: Target, revision: number): Promise<Map<string, Confirmation>> => {
    const answers = new Map<string, Confirmation>();
    let unqueried: readonly string[] = entries.all();
    while (unqueried.length > 0) {
      const results = await Promise.all(
        unqueried.map(async (entryId) => [entryId, await queryEntry(entryId, target, revision)] as const),
      );
      for (const [entryId, confirmation] of results) answers.set(entryId, confirmation);
      const reportedEntries = results.flatMap(([, { knownEntries }]) => knownEntries);
      unqueried = [...new Set(reportedEntries)].filter((entryId) => !answers.has(entryId));
    }
    return answers;
  };

  const departureAge = (target: Target): number => {
    // Measured from this entry's first sight of the departure, because `since` comes from another entry's clock.
    const departure = `${target.instanceId}/${target.since}`;
    const known = firstSeen.get(target.instanceId);
    if (known?.departure === departure) return parts.now() - known.at;
    firstSeen.set(target.instanceId, { departure, at: parts.now() });
    return 0;
  };

  const hasStoppedForMajority = async (entryId: string, required: number): Promise<boolean> => {
    if (entries.isListed(entryId)) return false;
    const voters = entries.voters();
    const silences = await Promise.all(voters.map(async (voter) => querySilence(voter, entryId)));
    const agreeing = silences.filter((silence) => silence > required);
    return agreeing.length * 2 > voters.length;
  };

  const querySilence = async (voter: string, entryId: string): Promise<number> => {
    if (voter === self) return silenceOf(entryId);
    const reply = await peers.call(voter, silenceCall, { entryId }, callTimeoutMilliseconds);
    return reply.map(({ milliseconds }) => milliseconds).orDefault(0);
  };

  return {
    isConfirmed: async (target) => {
      const answers = await queryAllEntries(target, view.revision(target.zone));
      const unconfirmed = [...answers].filter(([, { confirmed }]) => !confirmed);
      if (unconfirmed.some(([, { reached }]) => reached)) return false;
      const unreached = unconfirmed.map(([entryId]) => entryId).filter((entryId) => !entries.isGone(entryId));
      const age = departureAge(target);
      if (unreached.length === 0) return true;
      // An instance that changes pools may still finish old requests; one that is stopped must have none.
      const required = target.moveTo === undefined ? requestSilenceMilliseconds : routingSilenceMilliseconds;
      if (age <= required) return false;
      const stopped = await Promise.all(
        unreached.map(async (entryId) => hasStoppedForMajority(entryId, required)),
      );
      return stopped.every(Boolean);
    },
  };
}
