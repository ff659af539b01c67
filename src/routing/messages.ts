/**
 * Messages between the entries that ask for slots and the owners that grant them.
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
    /** Time to the deadline, since the clocks of two entries may differ. */
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
  /** The entry that was asked is not the pool's owner in its own view. */
  z.object({ kind: z.literal("not-home"), pool: z.string(), askId: z.string() }),
]);

/** A message about slots. */
export type SlotMessage = z.infer<typeof slotMessageSchema>;

/** Delivers messages in order. A batch whose reply was lost is sent again. */
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
  /** From now on the entry uses no grant of a lower epoch. */
  z.object({ kind: z.literal("promised"), slots: z.array(reportedSlotSchema) }),
  /** The entry has promised a higher epoch, or sees another entry as the owner. */
  z.object({ kind: z.literal("denied"), epoch: z.number(), seesOtherHome: z.boolean() }),
]);

/** Asks an entry to accept the caller as the owner of a pool and to report the slots that it uses. */
export const reportSlots = definePeerCall(
  "routing.report",
  z.object({ pool: z.string(), epoch: z.number() }),
  reportReplySchema,
);

/** Reply to {@link reportSlots}. */
export type ReportReply = z.infer<typeof reportReplySchema>;
