/**
 * Calls between entries that carry orders for targets and their outcomes, many in a frame.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../membership/index.js";

const orderBase = {
  /** Names the order towards the entry that sent it. */
  id: z.number(),
  targetId: z.string(),
  address: z.string(),
  startedAtUnix: z.number(),
  fencingToken: z.number(),
  timeoutMilliseconds: z.number(),
};
const runOrder = { ...orderBase, task: z.string(), run: z.number() };

const relayedOrderSchema = z.discriminatedUnion("kind", [
  z.object({
    ...runOrder,
    kind: z.literal("start"),
    /** Position in the frame's list of specs: tasks of a job share theirs. */
    spec: z.number(),
    leaseUntilMilliseconds: z.number(),
    checkpoint: z.string(),
    ticket: z.string().optional(),
  }),
  z.object({ ...runOrder, kind: z.literal("stop") }),
  z.object({ ...runOrder, kind: z.literal("pace"), percent: z.number() }),
  z.object({
    ...orderBase,
    kind: z.literal("renew"),
    acknowledgedSequence: z.number(),
    leaseUntilMilliseconds: z.number().optional(),
    waitMilliseconds: z.number(),
  }),
]);

/** An order on its way to a relay. */
export type RelayedOrder = z.infer<typeof relayedOrderSchema>;

/** Hands orders to a relay; the reply says only that they have arrived. */
export const carryOutCall = definePeerCall(
  "orders.carry-out",
  z.object({
    /** Names the sender's process: each has a monotonic clock of its own. */
    senderProcess: z.number(),
    /** When the frame was sent, by the sender's monotonic clock, in milliseconds. */
    sentAt: z.number(),
    specs: z.array(z.string()),
    orders: z.array(relayedOrderSchema),
  }),
  z.object({}),
);

const refusals = [
  "fenced",
  "old-run",
  "too-late",
  "no-room",
  "ticket",
  "unhealthy",
  "other-instance",
  "not-connected",
  "malformed",
] as const;
const endKinds = [
  "succeeded",
  "failed",
  "stopped",
  "lease-lapsed",
  "gang-broken",
  "gang-incomplete",
] as const;

const outcomeBase = {
  id: z.number(),
  /** How long the order waited for a connection, where that was long. */
  queueMilliseconds: z.number().optional(),
};

const relayedOutcomeSchema = z.discriminatedUnion("kind", [
  z.object({ ...outcomeBase, kind: z.literal("done"), clockMilliseconds: z.number() }),
  z.object({ ...outcomeBase, kind: z.literal("refused"), reason: z.enum(refusals) }),
  z.object({ ...outcomeBase, kind: z.literal("unknown"), message: z.string() }),
  /** The relay itself did not carry the order out. */
  z.object({ ...outcomeBase, kind: z.literal("declined") }),
  z.object({
    id: z.number(),
    kind: z.literal("report"),
    startedAtUnix: z.number(),
    clockMilliseconds: z.number(),
    /** Rows of task, run, checkpoint, percent and usage. */
    present: z.array(z.tuple([z.string(), z.number(), z.string(), z.number(), z.number()])),
    /** Rows of sequence, task, run, how it ended and checkpoint. */
    ends: z.array(z.tuple([z.number(), z.string(), z.number(), z.enum(endKinds), z.string()])),
  }),
]);

/** What an order brought, on its way back. */
export type RelayedOutcome = z.infer<typeof relayedOutcomeSchema>;

/** Hands outcomes back to the entry whose owners gave the orders. */
export const outcomesCall = definePeerCall(
  "orders.outcomes",
  z.object({ outcomes: z.array(relayedOutcomeSchema) }),
  z.object({}),
);
