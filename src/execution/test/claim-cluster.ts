/**
 * Test cluster of entries that share a store and call each other in memory, with injected faults.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { PeerAnswer, PeerCall, PeerFailure } from "../../membership/index.js";
import type { ConditionalWrite, WriteResult } from "../../store/index.js";
import { delay } from "../../shared/index.js";
import { createStoreFaults, MemoryStoreClient, type StoreFaults } from "../../stand-ins/store/index.js";
import { createStoreEngine, type StoreEngine } from "../../stand-ins/store/engine.js";
import { createClaimOwner, createClaims, createRetentionLease, type Claims } from "../index.js";

const retentionMilliseconds = 3_600_000;
const shards = 1;
const lateMilliseconds = 4;

/** Store client whose writes may take effect after the client has reported a timeout. */
class LateStoreClient extends MemoryStoreClient {
  lateWrites = 0;

  override async compareAndSwap(write: ConditionalWrite): Promise<WriteResult> {
    if (this.lateWrites === 0) return super.compareAndSwap(write);
    this.lateWrites -= 1;
    void delay(lateMilliseconds).then(async () => super.compareAndSwap(write));
    return { kind: "unknown", failure: { kind: "timeout", message: "no answer in time" } };
  }
}

/** One entry of the cluster. */
export interface ClusterEntry {
  readonly entryId: string;
  readonly claims: Claims;
  readonly store: LateStoreClient;
  readonly faults: StoreFaults;
  /** Peers that this entry cannot reach. */
  readonly unreachablePeers: Set<string>;
  alive: boolean;
  /** Number of next replies of this entry that are lost after the call took effect. */
  loseReplies: number;
}

/** Entries that share one store. */
export interface ClaimCluster {
  readonly engine: StoreEngine;
  readonly entries: ClusterEntry[];
  /** Stops an entry and starts a new one with the same identifier and empty memory. */
  replace(index: number): void;
}

type Handler = (body: unknown) => Promise<unknown>;

/**
 * Creates a cluster.
 * @param size - number of entries
 * @param commitMilliseconds - minimum time between group commits
 * @param answerBytes - maximum bytes of cached answers
 * @returns the cluster
 */
export function createCluster(size: number, commitMilliseconds = 0, answerBytes = 1_000): ClaimCluster {
  const engine = createStoreEngine();
  const entries: ClusterEntry[] = [];
  const handlers = new Map<ClusterEntry, Map<string, Handler>>();
  let incarnation = 0;

  const callPeer = async (
    peerId: string,
    name: string,
    body: unknown,
  ): Promise<Either<PeerFailure, unknown>> => {
    const peer = entries.find(({ entryId, alive }) => entryId === peerId && alive);
    await Promise.resolve();
    if (peer === undefined) return Left({ kind: "not-connected", message: "dead" });
    const reply = await handlers.get(peer)?.get(name)?.(body);
    const isLost = peer.loseReplies > 0;
    if (isLost) peer.loseReplies -= 1;
    return isLost || !peer.alive ? Left({ kind: "timeout", message: "lost" }) : Right(reply);
  };

  const startEntry = (entryId: string): ClusterEntry => {
    incarnation += 1;
    const faults = createStoreFaults();
    const store = new LateStoreClient(engine, faults);
    const hidden = new Set<string>();
    const upPeers = (): string[] =>
      entries
        .filter((each) => each.alive && each.entryId !== entryId && !hidden.has(each.entryId))
        .map((each) => each.entryId);
    const entryHandlers = new Map<string, Handler>();
    const owner = createClaimOwner({
      store,
      shards,
      writerId: `${entryId}/${incarnation}`,
      lease: createRetentionLease(store, retentionMilliseconds, Date.now),
      commitMilliseconds,
      retentionMilliseconds,
      now: Date.now,
      memory: { answerBytes, largestAnswerBytes: answerBytes, claims: 1_000 },
      isUp: (peerId) => peerId === entryId || upPeers().includes(peerId),
    });
    const peers = {
      answer: <Request, Reply>(call: PeerCall<Request, Reply>, answer: PeerAnswer<Request, Reply>): void => {
        entryHandlers.set(call.name, async (body) => answer(call.request.parse(body), ""));
      },
      call: async <Request, Reply>(peerId: string, call: PeerCall<Request, Reply>, request: Request) =>
        (await callPeer(peerId, call.name, request)).map((reply) => call.reply.parse(reply)),
      upPeers,
    };
    const claims = createClaims({ entryId, peers, owner, shards, retryMilliseconds: 1 });
    const entry: ClusterEntry = {
      entryId,
      claims,
      store,
      faults,
      unreachablePeers: hidden,
      alive: true,
      loseReplies: 0,
    };
    handlers.set(entry, entryHandlers);
    return entry;
  };

  for (let index = 0; index < size; index += 1) entries.push(startEntry(`entry-${index + 1}`));
  return {
    engine,
    entries,
    replace: (index) => {
      const old = entries[index];
      if (old === undefined) return;
      old.alive = false;
      entries[index] = startEntry(old.entryId);
    },
  };
}
