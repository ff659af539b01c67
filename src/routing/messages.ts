/**
 * Messages between the entries that request slots and the pool owners that grant them.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../membership/index.js";

const verdictSchema = z.enum(["ok", "target-fault", "neutral"]);
const refusalReasonSchema = z.enum([
  "overloaded",
  "no-target",
  "deadline-passed",
  "cancelled",
  "unavailable",
]);

const slotMessageSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("ask"),
    pool: z.string(),
    askId: z.string(),
    zone: z.string(),
    team: z.string(),
    urgency: z.enum(["urgent", "normal"]),
    operationKey: z.string(),
    /** Time left until the deadline. A duration, because the clocks of two entries may differ. */
    remainingMilliseconds: z.number(),
    excludedInstances: z.array(z.string()),
  }),
  z.object({ kind: z.literal("cancel"), pool: z.string(), askId: z.string() }),
  z.object({
    kind: z.literal("release"),
    pool: z.string(),
    grantId: z.string(),
    verdict: verdictSchema,
    runMilliseconds: z.number(),
  }),
  z.object({
    kind: z.literal("grant"),
    pool: z.string(),
    epoch: z.number(),
    askId: z.string(),
    grantId: z.string(),
    instanceId: z.string(),
  }),
  z.object({
    kind: z.literal("refusal"),
    pool: z.string(),
    askId: z.string(),
    reason: refusalReasonSchema,
    retryAfterMilliseconds: z.number(),
  }),
  /** The receiver of the request is not the pool's owner in its own view. */
  z.object({ kind: z.literal("not-home"), pool: z.string(), askId: z.string() }),
]);

/** A message between a requesting entry and a pool owner. */
export type SlotMessage = z.infer<typeof slotMessageSchema>;

/** Delivers a batch of messages, to be handled in order. A batch whose reply was lost is sent again. */
export const exchangeSlots = definePeerCall(
  "routing.exchange",
  z.object({ messages: z.array(slotMessageSchema) }),
  z.object({}),
);

const reportedSlotSchema = z.object({
  grantId: z.string(),
  instanceId: z.string(),
  team: z.string(),
  operationKey: z.string(),
});

/** A slot that an entry reports as in use. */
export type ReportedSlot = z.infer<typeof reportedSlotSchema>;

const reportReplySchema = z.discriminatedUnion("kind", [
  /** The entry will accept no grant of a lower epoch from now on; `slots` are those that it uses. */
  z.object({ kind: z.literal("promised"), slots: z.array(reportedSlotSchema) }),
  /** The entry has promised this epoch to another entry or a higher one, or its view names another owner. */
  z.object({ kind: z.literal("denied"), epoch: z.number(), seesOtherHome: z.boolean() }),
]);

/** Requests that an entry accept the caller as the owner of a pool and report the slots that it uses. */
export const reportSlots = definePeerCall(
  "routing.report",
  z.object({ pool: z.string(), epoch: z.number() }),
  reportReplySchema,
);

/** Reply to {@link reportSlots}. */
export type ReportReply = z.infer<typeof reportReplySchema>;
