/**
 * Spreads the configuration among entries: offers what came into force, fetches what is missing.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import type { ConfigurationKeeper } from "./keeper.js";
import { fetchConfiguration, offerConfiguration } from "./messages.js";

const callTimeoutMilliseconds = 1_000;

/**
 * Starts the roll-out among peers.
 * @param keeper - the configuration in force here
 * @param peers - the other entries
 */
export function startRollOut(keeper: ConfigurationKeeper, peers: PeerNetwork): void {
  peers.answer(fetchConfiguration, () => ({ configuration: keeper.current() ?? null }));
  peers.answer(offerConfiguration, ({ configuration }) => {
    keeper.adopt(configuration);
    return { revision: keeper.revision() };
  });
  peers.report("configurationRevision", () => keeper.revision());
  keeper.events.on("inForce", (accepted) => {
    for (const peerId of peers.upPeers()) {
      if (peers.reported(peerId, "configurationRevision") >= accepted.revision) continue;
      void peers.call(peerId, offerConfiguration, { configuration: accepted }, callTimeoutMilliseconds);
    }
  });
  peers.events.on("heartbeat", async ({ peerId }) => {
    if (peers.reported(peerId, "configurationRevision") <= keeper.revision()) return;
    const answer = await peers.call(peerId, fetchConfiguration, {}, callTimeoutMilliseconds);
    answer.ifRight(({ configuration }) => {
      if (configuration !== null) keeper.adopt(configuration);
    });
  });
}
