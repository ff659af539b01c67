/**
 * Learns the member list from entries whose addresses are in the settings, while the store does not answer.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";
import { memberListCall, type MemberRecord } from "./messages.js";
import { createPeerLink } from "./peer-link.js";
import type { PeerIdentity } from "./peer-links.js";

/** Dials addresses from the settings. */
export interface SeedDialler {
  /** Asks the entry at an address for the member list that it knows; empty when nobody answers. */
  fetchRoster(address: string): Promise<MemberRecord[]>;
}

const connectMilliseconds = 2_000;
const callMilliseconds = 1_000;
const connectPollMilliseconds = 20;

/**
 * Creates a dialler.
 * @param self - who this entry is
 * @returns the dialler
 */
export function createSeedDialler(self: PeerIdentity): SeedDialler {
  return {
    fetchRoster: async (address) => {
      const ignore = (): void => undefined;
      const hello = { kind: "hello" as const, ...self };
      const link = createPeerLink({
        peerId: address,
        acceptsAnyEntry: true,
        address,
        hello,
        onState: ignore,
        onHeartbeat: ignore,
      });
      for (
        let waited = 0;
        waited < connectMilliseconds && link.state() !== "up";
        waited += connectPollMilliseconds
      ) {
        await delay(connectPollMilliseconds);
      }
      const answer = await link.call(memberListCall, {}, callMilliseconds);
      link.close();
      return answer.map(({ records }) => records).orDefault([]);
    },
  };
}

/** What following seeds works with. */
export interface SeedFollowing {
  readonly addresses: readonly string[];
  readonly peers: { fetchRoster(address: string): Promise<MemberRecord[]> };
  /** Whether the store has answered, so that seeds are needed no more. */
  isStoreKnown(): boolean;
  /** Takes the records that a seed knows. */
  learn(records: readonly MemberRecord[]): void;
}

const seedPeriodMilliseconds = 1_000;

/**
 * Asks the seeds in turn until the store answers.
 * @param following - the seeds and what is called
 * @param signal - ends the asking
 * @returns a promise that resolves when seeds are needed no more
 */
export async function followSeeds(following: SeedFollowing, signal: AbortSignal): Promise<void> {
  const { addresses, peers } = following;
  for (let attempt = 0; addresses.length > 0 && !signal.aborted; attempt += 1) {
    await delay(seedPeriodMilliseconds, signal);
    if (following.isStoreKnown()) return;
    const records = await peers.fetchRoster(addresses[attempt % addresses.length] ?? "");
    if (records.length > 0 && !following.isStoreKnown()) following.learn(records);
  }
}
