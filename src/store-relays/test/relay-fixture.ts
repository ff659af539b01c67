/**
 * Entries with one store in memory, whose calls to each other arrive without a network.
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

type CallHandler = (request: unknown, peerId: string) => unknown;

/** Calls between entries, which arrive at once. An entry in `silent` handles calls, but its replies are lost. */
class MemoryPeers {
  readonly handlers = new Map<string, Map<string, CallHandler>>();
  readonly silent = new Set<string>();
  /** All calls in order, as `call to entry`. */
  readonly made: string[] = [];

  of(entryId: string): Pick<PeerNetwork, "answer" | "call"> {
    const own = new Map<string, CallHandler>();
    this.handlers.set(entryId, own);
    return {
      answer: ({ name }, answer) => {
        own.set(name, answer as CallHandler);
      },
      call: async (peerId, { name, request, reply }, sent) => {
        this.made.push(`${name} to ${peerId}`);
        const answer = this.handlers.get(peerId)?.get(name);
        if (answer === undefined) return Left({ kind: "not-connected", message: peerId });
        const received = await answer(request.parse(sent), entryId);
        if (this.silent.has(peerId)) return Left({ kind: "timeout", message: peerId });
        return Right(reply.parse(received));
      },
    };
  }
}

/** An entry's store client, and the faults of its direct path. */
export interface TestEntry {
  readonly store: TransactionalStore;
  readonly faults: StoreFaults;
}

/** The store and the entries of a test. */
export interface RelayFixture {
  readonly engine: StoreEngine;
  readonly peers: MemoryPeers;
  /** Adds an entry; `direct` replaces its client for the direct path. */
  start(entryId: string, candidates: readonly string[], direct?: TransactionalStore): TestEntry;
}

/**
 * Creates a fixture without entries.
 * @param engine - the store; a new one by default
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
