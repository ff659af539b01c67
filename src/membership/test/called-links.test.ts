/**
 * Links that are opened on demand by calls, over real sockets.
 * @packageDocumentation
 */
import { afterEach, expect, test } from "vitest";
import * as z from "zod";
import { createLog } from "../../telemetry/index.js";
import {
  choosePeers,
  createPeerNetwork,
  definePeerCall,
  maximumPeerLinks,
  type PeerNetwork,
  type MemberRecord,
} from "../index.js";

const call = definePeerCall("test.call", z.object({}), z.object({}));
const networks: PeerNetwork[] = [];

afterEach(async () => {
  await Promise.all(networks.splice(0).map(async (network) => network.close()));
});

function createNetwork(entryId: string): PeerNetwork {
  const network = createPeerNetwork({ entryId, incarnation: 1, zone: "zone" }, createLog("silent"));
  networks.push(network);
  return network;
}

/** Creates an entry in a fleet so large that it has no link to some members; `unlinkedPeer` is one of those. */
function joinLargeFleet(): {
  readonly own: PeerNetwork;
  readonly memberList: MemberRecord[];
  readonly unlinkedPeer: string;
} {
  const memberList = Array.from({ length: maximumPeerLinks * 2 }, (_, index) => ({
    entryId: `other-${index}`,
    incarnation: 1,
    peerAddress: "127.0.0.1:1",
    zone: "zone",
  }));
  const kept = choosePeers(memberList, { entryId: "own", zone: "zone" }, maximumPeerLinks);
  const unlinkedPeer = memberList.find(({ entryId }) => !kept.includes(entryId))?.entryId ?? "";
  return { own: createNetwork("own"), memberList, unlinkedPeer };
}

test("calls made while the first one is opening the link wait for that link", async () => {
  const { own, memberList, unlinkedPeer } = joinLargeFleet();
  const peer = createNetwork(unlinkedPeer);
  peer.answer(call, () => ({}));
  const peerAddress = `127.0.0.1:${await peer.listen("127.0.0.1", 0)}`;
  own.follow(memberList.map((each) => (each.entryId === unlinkedPeer ? { ...each, peerAddress } : each)));
  const replies = await Promise.all([1, 2, 3].map(async () => own.call(unlinkedPeer, call, {}, 2_000)));
  expect(replies.map((reply) => reply.isRight())).toEqual([true, true, true]);
});

test("a call to a peer whose address refuses connections fails at once, so that another path can be used", async () => {
  const { own, memberList, unlinkedPeer } = joinLargeFleet();
  own.follow(memberList);
  const startedAt = performance.now();
  const reply = await own.call(unlinkedPeer, call, {}, 3_000);
  expect(
    reply
      .swap()
      .map(({ kind }) => kind)
      .orDefault("timeout"),
  ).toBe("not-connected");
  expect(performance.now() - startedAt).toBeLessThan(1_500);
});
