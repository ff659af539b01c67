/**
 * Makes calls to the store for entries that have no direct path to it.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type * as z from "zod";
import type { PeerNetwork } from "../membership/index.js";
import type { StoreFailure, StoreLease, TransactionalStore } from "../store/index.js";
import type { Metrics } from "../telemetry/index.js";
import { changesCall, getCall, leaseCall, listCall, transactCall } from "./messages.js";
import type { StorePath } from "./store-path.js";

/** Dependencies of a store relay. */
export interface StoreRelayOptions {
  readonly peers: Pick<PeerNetwork, "answer">;
  /** Client without relays: a relayed call is never relayed again. */
  readonly direct: TransactionalStore;
  readonly path: StorePath;
  readonly metrics: Metrics;
}

/** Most relayed calls in progress; further ones are declined. */
const maximumInProgress = 64;
const noPath = { kind: "no-way" } as const;

/**
 * Registers the handlers for store calls of other entries.
 * @param options - the peers and the direct client
 */
export function startStoreRelay({ peers, direct, path, metrics }: StoreRelayOptions): void {
  let inProgress = 0;
  const relay = async <Reply extends RelayReply>(
    name: string,
    call: () => Promise<Reply>,
  ): Promise<Reply | typeof noPath> => {
    const isDeclined = inProgress >= maximumInProgress || path.usesPeers(performance.now());
    metrics.count("store_calls_for_peers_total", { call: name, result: isDeclined ? "declined" : "made" });
    if (isDeclined) return noPath;
    inProgress += 1;
    const reply = await call();
    inProgress -= 1;
    return showsNoPath(reply) ? noPath : reply;
  };

  peers.answer(getCall, async ({ key }) =>
    relay("get", async () =>
      toReply((await direct.get(key)).map((record) => (record === undefined ? [] : [record]))),
    ),
  );
  peers.answer(listCall, async ({ prefix }) =>
    relay("list", async () =>
      toReply(
        (await direct.list(prefix)).map(({ records, revision }) => ({ records: [...records], revision })),
      ),
    ),
  );
  peers.answer(changesCall, async (request) => relay("changes", async () => readChanges(direct, request)));
  peers.answer(leaseCall, async (request) => relay("lease", async () => callLease(direct, request)));
  peers.answer(transactCall, async (request) => relay("transact", async () => transact(direct, request)));
}

async function readChanges(
  direct: TransactionalStore,
  { prefix, afterRevision, waitMilliseconds }: z.infer<typeof changesCall.request>,
): Promise<AnswerReply<RelayedChanges>> {
  const answer = await direct.changesAfter(prefix, afterRevision, waitMilliseconds);
  return toReply(
    answer.map((found) => ({
      isGone: found === undefined,
      revision: found?.revision ?? 0,
      changes: (found?.changes ?? []).map(({ key, revision, value }) => ({
        key,
        revision,
        written: toList(value),
      })),
    })),
  );
}

async function callLease(
  direct: TransactionalStore,
  request: z.infer<typeof leaseCall.request>,
): Promise<AnswerReply<RelayedLease>> {
  if (request.kind === "grant")
    return toReply((await direct.grantLease(request.ttlSeconds)).map((lease) => describeLease(lease, true)));
  const { kind, leaseId } = request;
  const answer = await (kind === "renew" ? direct.renewLease(leaseId) : direct.revokeLease(leaseId));
  return toReply(answer.map((stands) => describeLease({ leaseId, ttlSeconds: 0 }, stands)));
}

async function transact(
  direct: TransactionalStore,
  { expected, writes }: z.infer<typeof transactCall.request>,
): Promise<Exclude<z.infer<typeof transactCall.reply>, typeof noPath>> {
  const result = await direct.transact({
    expected,
    writes: writes.map(({ key, written, leaseId }) => ({
      key,
      value: written[0],
      ...(leaseId === undefined ? {} : { leaseId }),
    })),
  });
  return result.kind === "conflict" ? { ...result, current: [...result.current] } : result;
}

type RelayedChanges = Extract<z.infer<typeof changesCall.reply>, { kind: "answer" }>["value"];
type RelayedLease = Extract<z.infer<typeof leaseCall.reply>, { kind: "answer" }>["value"];

/** Fields of a reply that show whether the relay has a path to the store. */
interface RelayReply {
  readonly kind: string;
  readonly failure?: StoreFailure;
}

/**
 * Whether the store rejected this entry too, so that another may be tried; never for a call that may have been made.
 */
function showsNoPath({ kind, failure }: RelayReply): boolean {
  if (kind !== "failed" && kind !== "not-done") return false;
  return failure?.kind === "unavailable" || failure?.kind === "over-budget";
}

/** Reply to any call but a transaction. */
type AnswerReply<Value> =
  | { readonly kind: "answer"; readonly value: Value }
  | { readonly kind: "failed"; readonly failure: StoreFailure };

function toReply<Value>(answer: Either<StoreFailure, Value>): AnswerReply<Value> {
  return answer.caseOf<AnswerReply<Value>>({
    Left: (failure) => ({ kind: "failed", failure }),
    Right: (value) => ({ kind: "answer", value }),
  });
}

/** Wraps an optional value in a list, since not every codec keeps an undefined value. */
function toList(value: unknown): unknown[] {
  return value === undefined ? [] : [value];
}

function describeLease(lease: StoreLease, stands: boolean): RelayedLease {
  return { ...lease, stands };
}
