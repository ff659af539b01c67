/**
 * A store client that calls the store directly, or through another entry while this one has no direct path.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { PeerCall, PeerFailure, PeerNetwork } from "../membership/index.js";
import type {
  ConditionalWrite,
  StoreChanges,
  StoreFailure,
  StoreLease,
  StoreListing,
  StoreRecord,
  StoreTransaction,
  StoreWatch,
  TransactionalStore,
  TransactionResult,
  WatchHandlers,
  WriteResult,
} from "../store/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { changesCall, getCall, leaseCall, listCall, transactCall } from "./messages.js";
import type { StorePath } from "./store-path.js";

/** Dependencies of a relayed store. */
export interface RelayedStoreOptions {
  readonly direct: TransactionalStore;
  readonly path: StorePath;
  readonly peers: Pick<PeerNetwork, "call">;
  /** Returns the other entries in an order that differs between entries, so that not all call the same one. */
  readonly candidates: () => readonly string[];
  /** Key that is read to check whether the direct path works again. */
  readonly probeKey: string;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Reply of an entry to any call but a transaction. */
type Reply<Value> =
  | { readonly kind: "answer"; readonly value: Value }
  | { readonly kind: "failed"; readonly failure: StoreFailure }
  | { readonly kind: "no-way" };

/** Result of a call through other entries; `none` when no entry replied to it. */
type PeerAnswer<Answer> =
  | { readonly kind: "reply"; readonly reply: Answer }
  | { readonly kind: "none"; readonly mayBeDone: boolean; readonly failure: StoreFailure };

/** Timeout of a call through another entry: that entry's call to the store, and the round trip between the entries. */
const callTimeoutMilliseconds = 1_200;

/** Calls the store, through other entries while there is no direct path. */
export class RelayedStore implements TransactionalStore {
  readonly #options: RelayedStoreOptions;
  #wasRelayed = false;

  /**
   * Creates a store client.
   * @param options - the direct client and the other entries
   */
  constructor(options: RelayedStoreOptions) {
    this.#options = options;
  }

  get maximumValueBytes(): number {
    return this.#options.direct.maximumValueBytes;
  }

  async get(key: string): Promise<Either<StoreFailure, StoreRecord | undefined>> {
    const callDirect = async (): Promise<Either<StoreFailure, StoreRecord[]>> =>
      (await this.#options.direct.get(key)).map((record) => (record === undefined ? [] : [record]));
    const answer = await this.#call(callDirect, getCall, { key });
    return answer.map(([record]) => record);
  }

  async list(prefix: string): Promise<Either<StoreFailure, StoreListing>> {
    const callDirect = async (): Promise<Either<StoreFailure, StoreListing>> =>
      this.#options.direct.list(prefix);
    return this.#call<{ prefix: string }, StoreListing>(callDirect, listCall, { prefix });
  }

  async changesAfter(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
  ): Promise<Either<StoreFailure, StoreChanges | undefined>> {
    const { direct } = this.#options;
    const directAnswer = await this.#callDirect(async () =>
      direct.changesAfter(prefix, afterRevision, waitMilliseconds),
    );
    if (directAnswer !== undefined) return directAnswer;
    const request = { prefix, afterRevision, waitMilliseconds };
    const relayed = readReply(await this.#queryPeers(changesCall, request, waitMilliseconds));
    return relayed.map(({ isGone, revision, changes }) => {
      if (isGone) return undefined;
      return {
        revision,
        changes: changes.map(({ written, ...change }) => ({ ...change, value: written[0] })),
      };
    });
  }

  async grantLease(ttlSeconds: number): Promise<Either<StoreFailure, StoreLease>> {
    const directAnswer = await this.#callDirect(async () => this.#options.direct.grantLease(ttlSeconds));
    if (directAnswer !== undefined) return directAnswer;
    const answer = readReply(await this.#queryPeers(leaseCall, { kind: "grant", ttlSeconds }));
    return answer.map((lease) => ({ leaseId: lease.leaseId, ttlSeconds: lease.ttlSeconds }));
  }

  async renewLease(leaseId: string): Promise<Either<StoreFailure, boolean>> {
    const directAnswer = await this.#callDirect(async () => this.#options.direct.renewLease(leaseId));
    if (directAnswer !== undefined) return directAnswer;
    const answer = readReply(await this.#queryPeers(leaseCall, { kind: "renew", leaseId }));
    return answer.map(({ stands }) => stands);
  }

  async revokeLease(leaseId: string): Promise<Either<StoreFailure, boolean>> {
    const directAnswer = await this.#callDirect(async () => this.#options.direct.revokeLease(leaseId));
    if (directAnswer !== undefined) return directAnswer;
    const answer = readReply(await this.#queryPeers(leaseCall, { kind: "revoke", leaseId }));
    return answer.map(({ stands }) => stands);
  }

  async transact(transaction: StoreTransaction): Promise<TransactionResult> {
    const { direct, path } = this.#options;
    if (!this.#usesPeers()) {
      const result = await direct.transact(transaction);
      const hasAnswer = result.kind === "done" || result.kind === "conflict";
      path.noteDirect(hasAnswer ? undefined : result.failure, performance.now());
      // A transaction that may have been carried out is not sent again: the caller has to find out.
      if (result.kind !== "not-done" || !this.#usesPeers()) return result;
    }
    const answer = await this.#queryPeers(transactCall, {
      expected: [...transaction.expected],
      writes: transaction.writes.map(({ key, value, leaseId }) => ({
        key,
        written: value === undefined ? [] : [value],
        ...(leaseId === undefined ? {} : { leaseId }),
      })),
    });
    if (answer.kind === "reply") return answer.reply;
    return { kind: answer.mayBeDone ? "unknown" : "not-done", failure: answer.failure };
  }

  async compareAndSwap({ key, expectedRevision, ...rest }: ConditionalWrite): Promise<WriteResult> {
    const expected = [{ key, revision: expectedRevision }];
    const result = await this.transact({ expected, writes: [{ key, ...rest }] });
    if (result.kind !== "conflict") return result;
    return { kind: "conflict", current: result.current.find((record) => record.key === key) };
  }

  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): StoreWatch {
    return this.#options.direct.watch(prefix, fromRevision, handlers);
  }

  /** Makes an idempotent call, directly or through other entries. */
  async #call<Request, Value>(
    callDirect: () => Promise<Either<StoreFailure, Value>>,
    definition: PeerCall<Request, Reply<Value>>,
    request: Request,
  ): Promise<Either<StoreFailure, Value>> {
    return (await this.#callDirect(callDirect)) ?? readReply(await this.#queryPeers(definition, request));
  }

  /** Makes a direct call; undefined when the call has to go through other entries. */
  async #callDirect<Value>(
    call: () => Promise<Either<StoreFailure, Value>>,
  ): Promise<Either<StoreFailure, Value> | undefined> {
    if (this.#usesPeers()) return undefined;
    const answer = await call();
    const failure = answer.swap().toMaybe().extractNullable() ?? undefined;
    this.#options.path.noteDirect(failure, performance.now());
    return failure !== undefined && this.#usesPeers() ? undefined : answer;
  }

  #usesPeers(): boolean {
    const { path, log } = this.#options;
    const now = performance.now();
    if (path.beginProbe(now)) void this.#probe();
    const isRelayed = path.usesPeers(now);
    if (isRelayed !== this.#wasRelayed)
      log.write("info", "store-way", { way: isRelayed ? "peers" : "straight" });
    this.#wasRelayed = isRelayed;
    return isRelayed;
  }

  async #probe(): Promise<void> {
    const { direct, path, probeKey } = this.#options;
    const answer = await direct.get(probeKey);
    path.noteDirect(answer.swap().toMaybe().extractNullable() ?? undefined, performance.now());
  }

  /** Calls other entries one after the other, and stops at the first that replies or may have made the call. */
  async #queryPeers<Request, Answer extends { readonly kind: string }>(
    definition: PeerCall<Request, Answer>,
    request: Request,
    waitMilliseconds = 0,
  ): Promise<PeerAnswer<Exclude<Answer, { readonly kind: "no-way" }>>> {
    const { peers, path, candidates, metrics } = this.#options;
    for (const peerId of path.choosePeers(candidates(), performance.now())) {
      const answer = await peers.call(
        peerId,
        definition,
        request,
        callTimeoutMilliseconds + waitMilliseconds,
      );
      const reply = answer.caseOf<Answer | PeerFailure>({
        Left: (failure) => failure,
        Right: (value) => value,
      });
      metrics.count("store_calls_through_peers_total", { call: definition.name, result: reply.kind });
      const hasPath = answer.isRight() && reply.kind !== "no-way";
      path.notePeer(peerId, hasPath, performance.now());
      if (hasPath) return { kind: "reply", reply: reply as Exclude<Answer, { readonly kind: "no-way" }> };
      if (answer.isLeft() && reply.kind !== "not-connected")
        return { kind: "none", mayBeDone: true, failure: describePeerFailure(peerId, reply.kind) };
    }
    path.noteNoPeer(performance.now());
    const failure = { kind: "unavailable", message: "no called entry reaches the store" } as const;
    return { kind: "none", mayBeDone: false, failure };
  }
}

function readReply<Value>(
  answer: PeerAnswer<Exclude<Reply<Value>, { readonly kind: "no-way" }>>,
): Either<StoreFailure, Value> {
  if (answer.kind === "none") return Left(answer.failure);
  const { reply } = answer;
  return reply.kind === "answer" ? Right(reply.value) : Left(reply.failure);
}

function describePeerFailure(peerId: string, kind: string): StoreFailure {
  return { kind: kind === "timeout" ? "timeout" : "unavailable", message: `${peerId}: ${kind}` };
}
