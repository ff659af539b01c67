/**
 * Gateways of two entries and the links between them, without a network.
 * @packageDocumentation
 */
import { Left, Right } from "purify-ts";
import type { PeerCall, PeerNetwork } from "../../membership/index.js";
import { createStoreFaults, MemoryStoreClient } from "../../stand-ins/index.js";
import type { OwnershipManager } from "../ownership-manager.js";
import { OwnerGateway } from "../job-gateway.js";
import type { PoolOwner } from "../pool-owner.js";
import type { OwnerFixture } from "./owner-fixture.js";

/** Links that hand calls over as they would stand in a frame, and keep what was asked. */
function connect(): { readonly asked: unknown[]; readonly network: PeerNetwork } {
  const asked: unknown[] = [];
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
      asked.push(body);
      const answer = answers.get(name);
      if (answer === undefined) return Left({ kind: "not-connected" });
      return Right(reply.parse(await answer(schema.parse(JSON.parse(JSON.stringify(body))), "b")));
    },
  };
  return { asked, network: network as unknown as PeerNetwork };
}

/**
 * Creates the gateway of an entry that owns no pool beside that of the entry that holds them.
 * @param fixture - the store
 * @param owners - the owners by pool
 * @returns both gateways, and what the first has asked the second
 */
export function connectGateways(
  { engine }: OwnerFixture,
  owners: ReadonlyMap<string, PoolOwner>,
): { readonly asked: unknown[]; readonly remote: OwnerGateway; readonly local: OwnerGateway } {
  const { asked, network } = connect();
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const record = { entryId: "a", revision: 1 };
  const directory = {
    entries: () => new Map(),
    owners: () => new Map([...owners.keys()].map((name) => [name, record])),
    ageMilliseconds: () => 0,
  } as never;
  const createOwnershipManager = (held: ReadonlyMap<string, PoolOwner>): OwnershipManager =>
    ({ owner: (name: string) => held.get(name) }) as unknown as OwnershipManager;
  const options = { directory, store, peers: network };
  // The last one to be created answers the links.
  const remote = new OwnerGateway({
    ...options,
    entryId: "b",
    ownershipManager: createOwnershipManager(new Map()),
  });
  const local = new OwnerGateway({
    ...options,
    entryId: "a",
    ownershipManager: createOwnershipManager(owners),
  });
  return { asked, remote, local };
}
