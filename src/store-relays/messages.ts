/**
 * Peer calls by which one entry calls the store for another.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../membership/index.js";

const failureSchema = z.object({
  kind: z.enum(["unavailable", "timeout", "over-budget", "bad-answer", "lease-ended"]),
  message: z.string(),
});
const recordSchema = z.object({ key: z.string(), value: z.unknown(), revision: z.number() });

/** The called entry has no path to the store either, or relays too many calls already: it has not done anything. */
const noPath = z.object({ kind: z.literal("no-way") });
const failed = z.object({ kind: z.literal("failed"), failure: failureSchema });

/** Reads one key; `value` is empty when the key is absent. */
export const getCall = definePeerCall(
  "store.get",
  z.object({ key: z.string() }),
  z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("answer"), value: z.array(recordSchema).max(1) }),
    failed,
    noPath,
  ]),
);

/** Lists all records under a prefix. */
export const listCall = definePeerCall(
  "store.list",
  z.object({ prefix: z.string() }),
  z.discriminatedUnion("kind", [
    z.object({
      kind: z.literal("answer"),
      value: z.object({ records: z.array(recordSchema), revision: z.number() }),
    }),
    failed,
    noPath,
  ]),
);

/** Waits for changes. `isGone` in the reply means that the history was compacted and a new list is needed. */
export const changesCall = definePeerCall(
  "store.changes",
  z.object({ prefix: z.string(), afterRevision: z.number(), waitMilliseconds: z.number() }),
  z.discriminatedUnion("kind", [
    z.object({
      kind: z.literal("answer"),
      value: z.object({
        isGone: z.boolean(),
        revision: z.number(),
        /** An empty `written` is a deletion. */
        changes: z.array(
          z.object({ key: z.string(), revision: z.number(), written: z.array(z.unknown()).max(1) }),
        ),
      }),
    }),
    failed,
    noPath,
  ]),
);

/** Grants, renews or revokes a lease. */
export const leaseCall = definePeerCall(
  "store.lease",
  z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("grant"), ttlSeconds: z.number() }),
    z.object({ kind: z.literal("renew"), leaseId: z.string() }),
    z.object({ kind: z.literal("revoke"), leaseId: z.string() }),
  ]),
  z.discriminatedUnion("kind", [
    z.object({
      kind: z.literal("answer"),
      /** `stands` is false for a lease that has ended. */
      value: z.object({ leaseId: z.string(), ttlSeconds: z.number(), stands: z.boolean() }),
    }),
    failed,
    noPath,
  ]),
);

/** Writes several keys in one transaction. */
export const transactCall = definePeerCall(
  "store.transact",
  z.object({
    expected: z.array(z.object({ key: z.string(), revision: z.number() })),
    /** An empty `written` deletes the key. */
    writes: z.array(
      z.object({ key: z.string(), written: z.array(z.unknown()).max(1), leaseId: z.string().optional() }),
    ),
  }),
  z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("done"), revision: z.number() }),
    z.object({ kind: z.literal("conflict"), current: z.array(recordSchema) }),
    z.object({ kind: z.literal("not-done"), failure: failureSchema }),
    z.object({ kind: z.literal("unknown"), failure: failureSchema }),
    noPath,
  ]),
);
