/**
 * Peer calls that carry orders for targets and their outcomes, many in a frame.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../membership/index.js";

const orderBase = {
  /** Identifies the order at the entry that sent it. */
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
    /** Index into the frame's `specs`; tasks of a job share one spec. */
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

/** An order as sent to a relay. */
export type RelayedOrder = z.infer<typeof relayedOrderSchema>;

/** Sends orders to a relay. The reply only confirms their arrival; {@link outcomesCall} returns the outcomes. */
export const carryOutCall = definePeerCall(
  "orders.carry-out",
  z.object({
    /** Identifies the sender's process, since each process has its own monotonic clock. */
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
  "overtaken",
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
  /** How long the order waited for a connection; absent when that was short or is not known. */
  queueMilliseconds: z.number().optional(),
};

const relayedOutcomeSchema = z.discriminatedUnion("kind", [
  z.object({ ...outcomeBase, kind: z.literal("done"), clockMilliseconds: z.number() }),
  z.object({ ...outcomeBase, kind: z.literal("refused"), reason: z.enum(refusals) }),
  z.object({ ...outcomeBase, kind: z.literal("unknown"), message: z.string() }),
  /** The relay did not send the order to its target. */
  z.object({ ...outcomeBase, kind: z.literal("declined") }),
  z.object({
    id: z.number(),
    kind: z.literal("report"),
    startedAtUnix: z.number(),
    clockMilliseconds: z.number(),
    /** Rows of task, run, checkpoint, percent and usage. */
    present: z.array(z.tuple([z.string(), z.number(), z.string(), z.number(), z.number()])),
    /** Rows of sequence, task, run, kind of end and checkpoint. */
    ends: z.array(z.tuple([z.number(), z.string(), z.number(), z.enum(endKinds), z.string()])),
  }),
]);

/** The outcome of an order as returned by a relay. */
export type RelayedOutcome = z.infer<typeof relayedOutcomeSchema>;

/** Returns outcomes to the entry whose owners sent the orders. */
export const outcomesCall = definePeerCall(
  "orders.outcomes",
  z.object({ outcomes: z.array(relayedOutcomeSchema) }),
  z.object({}),
);
