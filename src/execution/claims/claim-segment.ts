/**
 * Form of the claim log in the store: one log for each key shard, written in numbered segments.
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import * as z from "zod";

/** Prefix of the claim logs. */
export const claimsPrefix = "claims/";

const claimSchema = z.object({
  /** Digest of service, operation, team and idempotency key. */
  key: z.string(),
  /** Identifies the one request that may run under the key. */
  claimId: z.string(),
  /** Digest of the request, so that a key cannot be used again for another one. */
  fingerprint: z.string(),
});

const settlementSchema = z.object({
  key: z.string(),
  claimId: z.string(),
  /** `released` when it was proved that nothing ran, `finished` when the run ended. */
  state: z.enum(["released", "finished"]),
});

/** Checks a segment. */
export const claimSegmentSchema = z.object({
  /** Unique for each attempt to write, so that a lost answer can be settled by reading back. */
  segmentId: z.string(),
  /** When it was written, in milliseconds since the epoch. */
  writtenAt: z.number(),
  claims: z.array(claimSchema),
  settlements: z.array(settlementSchema),
});

/** A claim as it is stored. */
export type StoredClaim = z.infer<typeof claimSchema>;
/** What became of a claim, as it is stored. */
export type StoredSettlement = z.infer<typeof settlementSchema>;
/** One group commit. */
export type ClaimSegment = z.infer<typeof claimSegmentSchema>;

const sequenceDigits = 12;
const shardDigits = 4;
const digestLength = 22;

/**
 * Names the prefix of a shard's segments.
 * @param shard - the shard's number
 * @returns the prefix
 */
export function shardPrefix(shard: number): string {
  return `${claimsPrefix}${String(shard).padStart(shardDigits, "0")}/`;
}

/**
 * Names the key of a segment.
 * @param shard - the shard's number
 * @param sequence - the segment's number
 * @returns the key; keys sort by sequence
 */
export function segmentKey(shard: number, sequence: number): string {
  return `${shardPrefix(shard)}${String(sequence).padStart(sequenceDigits, "0")}`;
}

/**
 * Reads a segment's number from its key.
 * @param key - the key
 * @returns the number
 */
export function segmentSequence(key: string): number {
  return Number(key.slice(key.lastIndexOf("/") + 1));
}

/**
 * Digests parts so that different lists of parts give different digests.
 * @param parts - texts or bytes
 * @returns 132 bits in base64url
 */
export function digestParts(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(`${part.length}:`).update(part);
  return hash.digest("base64url").slice(0, digestLength);
}
