/**
 * Calls to the store that one entry makes for another.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../membership/index.js";

const failureSchema = z.object({
  kind: z.enum(["unavailable", "timeout", "over-budget", "bad-answer", "lease-ended"]),
  message: z.string(),
});
const recordSchema = z.object({ key: z.string(), value: z.unknown(), revision: z.number() });

/** The entry that was asked has no path to the store either, or makes too many calls for others: nothing was done. */
const noPath = z.object({ kind: z.literal("no-way") });
const failed = z.object({ kind: z.literal("failed"), failure: failureSchema });

/** Reads one key; the list is empty when it is absent. */
export const getCall = definePeerCall(
  "store.get",
  z.object({ key: z.string() }),
  z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("answer"), value: z.array(recordSchema).max(1) }),
    failed,
    noPath,
  ]),
);

/** Reads all keys below a prefix. */
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

/** Waits for changes; the reply's `isGone` tells that the history is gone and a list is needed. */
export const changesCall = definePeerCall(
  "store.changes",
  z.object({ prefix: z.string(), afterRevision: z.number(), waitMilliseconds: z.number() }),
  z.discriminatedUnion("kind", [
    z.object({
      kind: z.literal("answer"),
      value: z.object({
        isGone: z.boolean(),
        revision: z.number(),
        /** A change without a record is a deletion. */
        changes: z.array(
          z.object({ key: z.string(), revision: z.number(), written: z.array(z.unknown()).max(1) }),
        ),
      }),
    }),
    failed,
    noPath,
  ]),
);

/** Grants, renews or ends a lease. */
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

/** Writes several keys. */
export const transactCall = definePeerCall(
  "store.transact",
  z.object({
    expected: z.array(z.object({ key: z.string(), revision: z.number() })),
    /** A write without a value deletes its key. */
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
