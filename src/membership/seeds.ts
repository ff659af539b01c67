/**
 * Fetches the member list from seed peers, whose addresses are in the settings, while the store is unavailable.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";
import { memberListCall, type MemberRecord } from "./messages.js";
import { createPeerLink } from "./peer-link.js";
import type { PeerIdentity } from "./peer-links.js";

/** Connects to addresses from the settings. */
export interface SeedDialler {
  /** Fetches the member list of the entry at an address (`IP:port`); empty when no entry responds. */
  fetchRoster(address: string): Promise<MemberRecord[]>;
}

const connectMilliseconds = 2_000;
const callMilliseconds = 1_000;
const connectPollMilliseconds = 20;

/**
 * Creates a dialler.
 * @param self - identity that this entry sends to the seeds
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
      const reply = await link.call(memberListCall, {}, callMilliseconds);
      link.close();
      return reply.map(({ records }) => records).orDefault([]);
    },
  };
}

/** Options of `followSeeds`. */
export interface SeedFollowing {
  /** Peer addresses (`IP:port`) of the seeds; may be empty. */
  readonly addresses: readonly string[];
  readonly peers: { fetchRoster(address: string): Promise<MemberRecord[]> };
  /** Whether the member list has been read from the store, so that seeds are no longer needed. */
  isStoreKnown(): boolean;
  /** Receives the member list of a seed. */
  learn(records: readonly MemberRecord[]): void;
}

const seedPeriodMilliseconds = 1_000;

/**
 * Polls the seeds, one per second in rotation, until the store responds.
 * @param following - the seeds and the callbacks
 * @param signal - stops the polling
 * @returns a promise that resolves when seeds are no longer needed; at once without addresses
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
