/**
 * The newest claim of each key in one shard, as the shard's log says.
 * @packageDocumentation
 */
import type { ClaimSegment, StoredClaim, StoredSettlement } from "./claim-segment.js";

/** A claim of the index. */
export interface IndexedClaim extends StoredClaim {
  /** What the log says of the claim's end; undefined when it says nothing. */
  readonly settled: StoredSettlement["state"] | undefined;
}

/** The claims of one shard. */
export interface ClaimIndex {
  /** Finds the newest claim of a key. */
  find(key: string): IndexedClaim | undefined;
  /** Adds a segment that is known to be in the log, in the order of the log. */
  add(segment: ClaimSegment): void;
  /** Forgets the segments written before a time. */
  forgetBefore(time: number): void;
  /** How many keys are indexed. */
  size(): number;
}

interface SegmentKeys {
  readonly writtenAt: number;
  readonly claims: readonly StoredClaim[];
}

/**
 * Creates an empty index.
 * @returns the index
 */
export function createClaimIndex(): ClaimIndex {
  const claims = new Map<string, IndexedClaim>();
  const segments: SegmentKeys[] = [];

  const forget = (claim: StoredClaim): void => {
    if (claims.get(claim.key)?.claimId === claim.claimId) claims.delete(claim.key);
  };

  return {
    find: (key) => claims.get(key),
    add: (segment) => {
      for (const claim of segment.claims) claims.set(claim.key, { ...claim, settled: undefined });
      for (const { key, claimId, state } of segment.settlements) {
        const claim = claims.get(key);
        if (claim?.claimId === claimId) claims.set(key, { ...claim, settled: state });
      }
      segments.push({ writtenAt: segment.writtenAt, claims: segment.claims });
    },
    forgetBefore: (time) => {
      for (let oldest = segments[0]; oldest !== undefined && oldest.writtenAt < time; oldest = segments[0]) {
        oldest.claims.forEach(forget);
        segments.shift();
      }
    },
    size: () => claims.size,
  };
}
