/**
 * Storage format of the claim logs: one log for each key shard, written in numbered segments.
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import * as z from "zod";

/** Prefix of the store keys of the claim logs. */
export const claimsPrefix = "claims/";

const claimSchema = z.object({
  /** Digest of service, operation, team and idempotency key. */
  key: z.string(),
  /** Identifies the only request that may run with the key. */
  claimId: z.string(),
  /** Digest of the request's content, so that the key cannot be reused for different content. */
  fingerprint: z.string(),
});

const settlementSchema = z.object({
  key: z.string(),
  claimId: z.string(),
  /** `released` when it was proved that nothing ran, `finished` when the run ended. */
  state: z.enum(["released", "finished"]),
});

/** Schema of a stored segment. */
export const claimSegmentSchema = z.object({
  /** Unique for each write, so that a write whose answer was lost can be recognized by reading the segment back. */
  segmentId: z.string(),
  /** When the segment was written, in milliseconds since the epoch. */
  writtenAt: z.number(),
  claims: z.array(claimSchema),
  settlements: z.array(settlementSchema),
});

/** A claim in a stored segment. */
export type StoredClaim = z.infer<typeof claimSchema>;
/** How a claimed request ended, in a stored segment. */
export type StoredSettlement = z.infer<typeof settlementSchema>;
/** The claims and settlements of one group commit. */
export type ClaimSegment = z.infer<typeof claimSegmentSchema>;

const sequenceDigits = 12;
const shardDigits = 4;
const digestLength = 22;

/**
 * Builds the key prefix of a shard's segments.
 * @param shard - the shard's number
 * @returns the prefix, ending with a slash
 */
export function shardPrefix(shard: number): string {
  return `${claimsPrefix}${String(shard).padStart(shardDigits, "0")}/`;
}

/**
 * Builds the store key of a segment.
 * @param shard - the shard's number
 * @param sequence - the segment's number
 * @returns the key; the keys of a shard sort by sequence
 */
export function segmentKey(shard: number, sequence: number): string {
  return `${shardPrefix(shard)}${String(sequence).padStart(sequenceDigits, "0")}`;
}

/**
 * Parses a segment's number from its store key.
 * @param key - store key of a segment
 * @returns the segment's number
 */
export function segmentSequence(key: string): number {
  return Number(key.slice(key.lastIndexOf("/") + 1));
}

/**
 * Computes a digest of a list of parts. The length of each part is hashed too, so that lists that differ only in
 * where the parts are split have different digests.
 * @param parts - strings or bytes
 * @returns 132 bits in base64url
 */
export function digestParts(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(`${part.length}:`).update(part);
  return hash.digest("base64url").slice(0, digestLength);
}
