/**
 * Entries that share a store and call each other in memory, with the faults that claims must stand.
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

/** A store whose writes may take effect after the client has given up on them. */
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
  /** Peers that this entry cannot see. */
  readonly hidden: Set<string>;
  alive: boolean;
  /** How many of the next replies of this entry are lost after the call took effect. */
  loseReplies: number;
}

/** Entries around one store. */
export interface ClaimCluster {
  readonly engine: StoreEngine;
  readonly entries: ClusterEntry[];
  /** Ends an entry and starts it anew without its memory. */
  replace(index: number): void;
}

type Handler = (body: unknown) => Promise<unknown>;

/**
 * Creates a cluster.
 * @param size - how many entries
 * @param commitMilliseconds - least time between group commits
 * @param answerBytes - memory for held answers
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

  const start = (entryId: string): ClusterEntry => {
    incarnation += 1;
    const faults = createStoreFaults();
    const store = new LateStoreClient(engine, faults);
    const hidden = new Set<string>();
    const upPeers = (): string[] =>
      entries
        .filter((each) => each.alive && each.entryId !== entryId && !hidden.has(each.entryId))
        .map((each) => each.entryId);
    const own = new Map<string, Handler>();
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
        own.set(call.name, async (body) => answer(call.request.parse(body), ""));
      },
      call: async <Request, Reply>(peerId: string, call: PeerCall<Request, Reply>, request: Request) =>
        (await callPeer(peerId, call.name, request)).map((reply) => call.reply.parse(reply)),
      upPeers,
    };
    const claims = createClaims({ entryId, peers, owner, shards, retryMilliseconds: 1 });
    const entry: ClusterEntry = { entryId, claims, store, faults, hidden, alive: true, loseReplies: 0 };
    handlers.set(entry, own);
    return entry;
  };

  for (let index = 0; index < size; index += 1) entries.push(start(`entry-${index + 1}`));
  return {
    engine,
    entries,
    replace: (index) => {
      const old = entries[index];
      if (old === undefined) return;
      old.alive = false;
      entries[index] = start(old.entryId);
    },
  };
}
