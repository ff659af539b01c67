/**
 * Calls between entries for claims.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../../membership/index.js";

const heldAnswerSchema = z.object({
  status: z.number(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});

const claimRequestSchema = z.object({
  key: z.string(),
  claimId: z.string(),
  fingerprint: z.string(),
  /** The entry that would run the request. */
  entryId: z.string(),
  /** When the caller gives up, in milliseconds since the epoch. */
  deadlineAt: z.number(),
});

const claimAnswerSchema = z.discriminatedUnion("kind", [
  /** The request may run now; nobody else may run a request under the key. */
  z.object({ kind: z.literal("granted") }),
  z.object({ kind: z.literal("already-running") }),
  /** An earlier request ran and its whole answer is still held. */
  z.object({ kind: z.literal("finished"), answer: heldAnswerSchema }),
  /** An earlier request ran; its answer is not held any more. */
  z.object({ kind: z.literal("already-run") }),
  /** An earlier request may have run. */
  z.object({ kind: z.literal("unknown") }),
  /** The key was used for another request. */
  z.object({ kind: z.literal("key-reused") }),
  /** The store could not confirm the claim; the request must not run. */
  z.object({ kind: z.literal("unavailable") }),
]);

const claimSettlementSchema = z.object({
  key: z.string(),
  claimId: z.string(),
  /** `released`: proved that nothing ran. `finished`: the run ended. `unknown`: it may have run. */
  state: z.enum(["released", "finished", "unknown"]),
  answer: heldAnswerSchema.optional(),
});

/** An answer that is held for repeated keys. */
export type HeldAnswer = z.infer<typeof heldAnswerSchema>;
/** Asks to run a request under a key. Repeating it with the same `claimId` changes nothing. */
export type ClaimRequest = z.infer<typeof claimRequestSchema>;
/** What the owner of a key says. */
export type ClaimAnswer = z.infer<typeof claimAnswerSchema>;
/** Reports how a claimed request ended. */
export type ClaimSettlement = z.infer<typeof claimSettlementSchema>;

/** Asks the owner of a key's shard for a claim. */
export const takeClaimCall = definePeerCall("execution.take-claim", claimRequestSchema, claimAnswerSchema);
/** Reports the end of a claimed request to the owner of its key's shard. */
export const settleClaimCall = definePeerCall(
  "execution.settle-claim",
  claimSettlementSchema,
  z.object({ held: z.boolean() }),
);
