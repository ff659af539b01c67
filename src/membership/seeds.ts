/**
 * Learns the roster from entries whose addresses are in the settings, while the store does not answer.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";
import { rosterCall, type RosterRecord } from "./messages.js";
import { createPeerLink } from "./peer-link.js";
import type { PeerIdentity } from "./peer-links.js";

/** Dials addresses from the settings. */
export interface SeedDialler {
  /** Asks the entry at an address for the roster that it knows; empty when nobody answers. */
  fetchRoster(address: string): Promise<RosterRecord[]>;
}

const connectMilliseconds = 2_000;
const callMilliseconds = 1_000;
const pollMilliseconds = 20;

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
        waited += pollMilliseconds
      ) {
        await delay(pollMilliseconds);
      }
      const answer = await link.call(rosterCall, {}, callMilliseconds);
      link.close();
      return answer.map(({ records }) => records).orDefault([]);
    },
  };
}
