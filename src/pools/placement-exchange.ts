/**
 * Replication of the placement between entries: fetches the records of a peer that reports a higher revision.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import type { StoreMirror } from "../store/index.js";
import { fetchPlacement } from "./messages.js";
import { placementPrefix } from "./placement-record.js";

/** Name of the heartbeat field with the highest revision of an entry's placement records. */
export const placementRevisionReport = "placementRevision";

const fetchTimeoutMilliseconds = 2_000;

/**
 * Starts reporting this entry's revision in heartbeats, serving its records and fetching newer ones from peers.
 * @param peers - connections to the other entries
 * @param mirror - mirror of {@link placementPrefix}; receives the fetched records
 */
export function startPlacementExchange(peers: PeerNetwork, mirror: StoreMirror): void {
  let isFetching = false;
  const highestRevision = (): number =>
    Math.max(0, ...[...mirror.records().values()].map((held) => held.revision));

  const fetchFrom = async (peerId: string): Promise<void> => {
    isFetching = true;
    const reply = await peers.call(peerId, fetchPlacement, {}, fetchTimeoutMilliseconds);
    isFetching = false;
    reply.ifRight(({ records }) => {
      for (const record of records) {
        if (record.key.startsWith(placementPrefix)) mirror.offer(record);
      }
    });
  };

  peers.report(placementRevisionReport, highestRevision);
  peers.answer(fetchPlacement, () => ({ records: [...mirror.records().values()] }));
  peers.events.on("heartbeat", async ({ peerId }) => {
    if (!isFetching && peers.reported(peerId, placementRevisionReport) > highestRevision())
      await fetchFrom(peerId);
  });
}
