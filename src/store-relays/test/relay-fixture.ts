/**
 * Entries over one store in memory whose calls to each other arrive without a network.
 * @packageDocumentation
 */
import { Left, Right } from "purify-ts";
import type { PeerNetwork } from "../../membership/index.js";
import {
  createStoreEngine,
  createStoreFaults,
  MemoryStoreClient,
  type StoreEngine,
  type StoreFaults,
} from "../../stand-ins/index.js";
import type { TransactionalStore } from "../../store/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import { createStorePath, RelayedStore, startStoreRelay } from "../index.js";

type Answerer = (request: unknown, peerId: string) => unknown;

/** Calls between entries that arrive at once; an entry in `silent` takes a call and never answers it. */
class MemoryPeers {
  readonly answers = new Map<string, Map<string, Answerer>>();
  readonly silent = new Set<string>();
  readonly made: string[] = [];

  of(entryId: string): Pick<PeerNetwork, "answer" | "call"> {
    const own = new Map<string, Answerer>();
    this.answers.set(entryId, own);
    return {
      answer: ({ name }, answer) => {
        own.set(name, answer as Answerer);
      },
      call: async (peerId, { name, request, reply }, sent) => {
        this.made.push(`${name} to ${peerId}`);
        const answer = this.answers.get(peerId)?.get(name);
        if (answer === undefined) return Left({ kind: "not-connected", message: peerId });
        const received = await answer(request.parse(sent), entryId);
        if (this.silent.has(peerId)) return Left({ kind: "timeout", message: peerId });
        return Right(reply.parse(received));
      },
    };
  }
}

/** An entry with its path to the store. */
export interface TestEntry {
  readonly store: TransactionalStore;
  readonly faults: StoreFaults;
}

/** What a test works with. */
export interface RelayFixture {
  readonly engine: StoreEngine;
  readonly peers: MemoryPeers;
  /** Adds an entry. */
  start(entryId: string, candidates: readonly string[], direct?: TransactionalStore): TestEntry;
}

/**
 * Creates a store without entries.
 * @param engine - the store, a new one when it is left out
 * @returns the fixture
 */
export function createFixture(engine = createStoreEngine()): RelayFixture {
  const peers = new MemoryPeers();
  const start = (entryId: string, candidates: readonly string[], given?: TransactionalStore): TestEntry => {
    const faults = createStoreFaults();
    const direct = given ?? new MemoryStoreClient(engine, faults);
    const own = peers.of(entryId);
    const path = createStorePath();
    const metrics = createMetrics();
    const log = createLog("info", () => undefined);
    startStoreRelay({ peers: own, direct, path, metrics });
    const options = {
      direct,
      path,
      peers: own,
      candidates: () => candidates,
      probeKey: "probe",
      log,
      metrics,
    };
    return { store: new RelayedStore(options), faults };
  };
  return { engine, peers, start };
}
