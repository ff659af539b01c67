/**
 * Decides whether every entry that could still send to a leaving instance has stopped doing so.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import type { KnownEntries } from "./known-entries.js";
import { silenceCall, confirmLeaving } from "./messages.js";
import type { Target } from "./placement-record.js";
import type { PlacementView } from "./placement-view.js";
import { viewBoundMilliseconds } from "./view-confidence.js";

/** Decides about leaving instances. */
export interface DepartureCheck {
  /**
   * Asks all entries.
   * @param target - the leaving instance as this entry's view has it
   * @returns whether no entry sends to it and none has a request in progress there
   */
  isConfirmed(target: Target): Promise<boolean>;
}

/** What the decision works with. */
export interface DepartureCheckParts {
  readonly entryId: string;
  readonly view: PlacementView;
  readonly entries: KnownEntries;
  readonly peers: PeerNetwork;
  /** The time in milliseconds since the epoch. */
  readonly now: () => number;
  /** Requests that this entry has in progress on an instance. */
  inProgress(instanceId: string): number;
}

const callTimeoutMilliseconds = 1_000;
const marginMilliseconds = 2_000;
/** The longest that a caller may let an accepted request take. */
const maximumRequestMilliseconds = 600_000;

/** Silence after which an entry sends nothing new, whatever it still holds. */
export const routingSilenceMilliseconds = viewBoundMilliseconds + marginMilliseconds;
/** Silence after which an entry has no request in progress either. */
export const requestSilenceMilliseconds = routingSilenceMilliseconds + maximumRequestMilliseconds;

interface Confirmation {
  readonly confirmed: boolean;
  /** The entry answered. */
  readonly reached: boolean;
  readonly knownEntries: readonly string[];
}

const unreachedConfirmation: Confirmation = { confirmed: false, reached: false, knownEntries: [] };

/**
 * Creates the decision and answers the peers' questions about this entry's own work.
 * @param parts - what it works with
 * @returns the decision
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
    const question = { zone: target.zone, instanceId: target.instanceId, revision };
    const reply = await peers.call(entryId, confirmLeaving, question, callTimeoutMilliseconds);
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
    // Times of other entries' clocks are not compared with this one's.
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

  const querySilence = async (witness: string, entryId: string): Promise<number> => {
    if (witness === self) return silenceOf(entryId);
    const reply = await peers.call(witness, silenceCall, { entryId }, callTimeoutMilliseconds);
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
      // An instance that only changes pools may finish old work; one that stops must have none.
      const required = target.moveTo === undefined ? requestSilenceMilliseconds : routingSilenceMilliseconds;
      if (age <= required) return false;
      const stopped = await Promise.all(
        unreached.map(async (entryId) => hasStoppedForMajority(entryId, required)),
      );
      return stopped.every(Boolean);
    },
  };
}
