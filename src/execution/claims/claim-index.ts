/**
 * In-memory index of a shard's claim log: the newest claim of each key.
 * @packageDocumentation
 */
import type { ClaimSegment, StoredClaim, StoredSettlement } from "./claim-segment.js";

/** A claim in the index. */
export interface IndexedClaim extends StoredClaim {
  /** How the claim ended according to the log; undefined when the log has no settlement for it. */
  readonly settledState: StoredSettlement["state"] | undefined;
}

/** Index of the claims in one shard. */
export interface ClaimIndex {
  /** Finds the newest claim of a key. */
  find(key: string): IndexedClaim | undefined;
  /** Adds a segment that is stored in the log. Segments must be added in the order of the log. */
  add(segment: ClaimSegment): void;
  /** Removes the claims of segments written before a time, in milliseconds since the epoch. */
  dropSegmentsBefore(time: number): void;
  /** Number of indexed keys. */
  size(): number;
}

interface IndexedSegment {
  readonly writtenAt: number;
  readonly claims: readonly StoredClaim[];
}

/**
 * Creates an empty index.
 * @returns the index
 */
export function createClaimIndex(): ClaimIndex {
  const claims = new Map<string, IndexedClaim>();
  const segments: IndexedSegment[] = [];

  const dropClaim = (claim: StoredClaim): void => {
    if (claims.get(claim.key)?.claimId === claim.claimId) claims.delete(claim.key);
  };

  return {
    find: (key) => claims.get(key),
    add: (segment) => {
      for (const claim of segment.claims) claims.set(claim.key, { ...claim, settledState: undefined });
      for (const { key, claimId, state } of segment.settlements) {
        const claim = claims.get(key);
        if (claim?.claimId === claimId) claims.set(key, { ...claim, settledState: state });
      }
      segments.push({ writtenAt: segment.writtenAt, claims: segment.claims });
    },
    dropSegmentsBefore: (time) => {
      for (let oldest = segments[0]; oldest !== undefined && oldest.writtenAt < time; oldest = segments[0]) {
        oldest.claims.forEach(dropClaim);
        segments.shift();
      }
    },
    size: () => claims.size,
  };
}
