/**
 * Distributes the configuration among entries: each entry announces a revision that came into force, and fetches a
 * higher revision that a peer reports.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import type { InForceReport } from "./in-force-report.js";
import type { ConfigurationKeeper } from "./keeper.js";
import { announceRevision, fetchConfiguration } from "./messages.js";

/** Name under which heartbeats report the revision in force. */
export const revisionReport = "configurationRevision";

const callTimeoutMilliseconds = 1_000;

/**
 * Starts the roll-out among peers. Peers pass on only copies of configurations that the store accepted, and the keeper
 * ignores any revision that is not higher than its own, so the revision in force never decreases.
 * @param keeper - the configuration in force in this entry
 * @param peers - the other entries
 * @param report - collects the revisions that peers report as in force
 */
export function startRollOut(keeper: ConfigurationKeeper, peers: PeerNetwork, report?: InForceReport): void {
  const fetchFrom = createFetcher(keeper, peers);

  const announceTo = async (peerId: string, revision: number): Promise<void> => {
    if (peers.reported(peerId, revisionReport) >= revision) return;
    const reply = await peers.call(peerId, announceRevision, { revision }, callTimeoutMilliseconds);
    reply.ifRight((received) => report?.noteReceived(peerId, received.revision));
  };

  peers.answer(fetchConfiguration, () => ({ configuration: keeper.current() ?? null }));
  peers.answer(announceRevision, async ({ revision }, peerId) => {
    await fetchFrom(peerId, revision);
    return { revision: keeper.revision() };
  });
  peers.report(revisionReport, () => keeper.revision());
  keeper.events.on("inForce", async ({ revision }) => {
    await Promise.all(peers.upPeers().map(async (peerId) => announceTo(peerId, revision)));
  });
  peers.events.on("heartbeat", async ({ peerId }) => {
    const revision = peers.reported(peerId, revisionReport);
    report?.noteReceived(peerId, revision);
    await fetchFrom(peerId, revision);
  });
}

/** Creates a function that fetches a peer's configuration if its revision is higher; one fetch per peer at a time. */
function createFetcher(
  keeper: ConfigurationKeeper,
  peers: PeerNetwork,
): (peerId: string, revision: number) => Promise<void> {
  const pendingFetches = new Map<string, Promise<void>>();

  const fetchAndAdopt = async (peerId: string): Promise<void> => {
    const reply = await peers.call(peerId, fetchConfiguration, {}, callTimeoutMilliseconds);
    reply.ifRight(({ configuration }) => {
      if (configuration !== null) keeper.adopt(configuration);
    });
  };

  return async (peerId, revision) => {
    if (revision <= keeper.revision()) return;
    const pending = pendingFetches.get(peerId);
    if (pending !== undefined) {
      await pending;
      return;
    }
    const fetching = fetchAndAdopt(peerId).finally(() => pendingFetches.delete(peerId));
    pendingFetches.set(peerId, fetching);
    await fetching;
  };
}
