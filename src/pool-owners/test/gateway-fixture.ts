/**
 * Gateways of two entries with an in-memory link between them.
 * @packageDocumentation
 */
import { Left, Right } from "purify-ts";
import type { PeerCall, PeerNetwork } from "../../membership/index.js";
import { createStoreFaults, MemoryStoreClient } from "../../stand-ins/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import type { OwnershipManager } from "../ownership-manager.js";
import { OwnerGateway } from "../job-gateway.js";
import type { PoolOwner } from "../pool-owner.js";
import type { OwnerFixture } from "./owner-fixture.js";

/** Creates a peer network that serializes calls as on the wire and records the requests. */
function createPeerNetwork(): { readonly requests: unknown[]; readonly network: PeerNetwork } {
  const requests: unknown[] = [];
  const answers = new Map<string, (request: unknown, peerId: string) => unknown>();
  const network = {
    answer: ({ name }: { name: string }, answer: (request: unknown, peerId: string) => unknown) => {
      answers.set(name, answer);
    },
    call: async (
      _peerId: string,
      { name, request: schema, reply }: PeerCall<unknown, unknown>,
      body: unknown,
    ) => {
      requests.push(body);
      const answer = answers.get(name);
      if (answer === undefined) return Left({ kind: "not-connected" });
      return Right(reply.parse(await answer(schema.parse(JSON.parse(JSON.stringify(body))), "b")));
    },
  };
  return { requests, network: network as unknown as PeerNetwork };
}

/**
 * Creates the gateways of two entries, of which only one owns pools.
 * @param fixture - the fixture whose store both gateways use
 * @param owners - the owners by pool
 * @returns the gateway of the entry without pools (`remote`), that of the owning entry (`local`), and the requests that were
 * sent over the link
 */
export function connectGateways(
  { engine }: OwnerFixture,
  owners: ReadonlyMap<string, PoolOwner>,
): { readonly requests: unknown[]; readonly remote: OwnerGateway; readonly local: OwnerGateway } {
  const { requests, network } = createPeerNetwork();
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const record = { entryId: "a", revision: 1 };
  const directory = {
    entries: () => new Map(),
    owners: () => new Map([...owners.keys()].map((name) => [name, record])),
    ageMilliseconds: () => 0,
  } as never;
  const createOwnershipManager = (held: ReadonlyMap<string, PoolOwner>): OwnershipManager =>
    ({ owner: (name: string) => held.get(name) }) as unknown as OwnershipManager;
  const options = { directory, store, peers: network, log: createLog("silent"), metrics: createMetrics() };
  // The gateway that is created last handles the calls of the link.
  const remote = new OwnerGateway({
    ...options,
    entryId: "b",
    keeper: createOwnershipManager(new Map()),
  });
  const local = new OwnerGateway({
    ...options,
    entryId: "a",
    keeper: createOwnershipManager(owners),
  });
  return { requests, remote, local };
}
