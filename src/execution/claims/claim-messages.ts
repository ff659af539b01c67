/**
 * Peer calls by which entries take and settle claims.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../../membership/index.js";

const cachedAnswerSchema = z.object({
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
  /** When the caller stops waiting, in milliseconds since the epoch. */
  deadlineAt: z.number(),
});

const claimAnswerSchema = z.discriminatedUnion("kind", [
  /** The request may run now; no other request may run with the key. */
  z.object({ kind: z.literal("granted") }),
  z.object({ kind: z.literal("already-running") }),
  /** An earlier request ran, and its complete answer is still cached. */
  z.object({ kind: z.literal("finished"), answer: cachedAnswerSchema }),
  /** An earlier request ran; its answer is not cached (any more). */
  z.object({ kind: z.literal("already-run") }),
  /** An earlier request may have run. */
  z.object({ kind: z.literal("unknown") }),
  /** The key was already used for a request with different content. */
  z.object({ kind: z.literal("key-reused") }),
  /** The store could not confirm the claim; the request must not run. */
  z.object({ kind: z.literal("unavailable") }),
]);

const claimSettlementSchema = z.object({
  key: z.string(),
  claimId: z.string(),
  /** `released`: it is proved that nothing ran. `finished`: the run ended. `unknown`: the request may have run. */
  state: z.enum(["released", "finished", "unknown"]),
  answer: cachedAnswerSchema.optional(),
});

/** A target's answer, cached for repeated requests with the same idempotency key. */
export type CachedAnswer = z.infer<typeof cachedAnswerSchema>;
/** Requests the claim on a key. The call is idempotent for the same `claimId`. */
export type ClaimRequest = z.infer<typeof claimRequestSchema>;
/** Answer of the key's owner to a claim request. */
export type ClaimAnswer = z.infer<typeof claimAnswerSchema>;
/** Reports how a claimed request ended. */
export type ClaimSettlement = z.infer<typeof claimSettlementSchema>;

/** Requests a claim from the owner of the key's shard. */
export const takeClaimCall = definePeerCall("execution.take-claim", claimRequestSchema, claimAnswerSchema);
/** Reports the end of a claimed request to the owner of its key's shard. */
export const settleClaimCall = definePeerCall(
  "execution.settle-claim",
  claimSettlementSchema,
  z.object({ held: z.boolean() }),
);
