/**
 * Claim log of one key shard, written in group commits. Each commit creates the next numbered segment, which succeeds
 * only if that segment is absent. If another entry has created it, that entry owns the log now, and this one has to
 * read the log again before it grants a claim.
 * @packageDocumentation
 */
import { writeAndSettle, type StoreClient, type WriteResult } from "../../store/index.js";
import { delay, parseWith } from "../../shared/index.js";
import { createClaimIndex, type ClaimIndex, type IndexedClaim } from "./claim-index.js";
import {
  claimSegmentSchema,
  segmentKey,
  segmentSequence,
  shardPrefix,
  type ClaimSegment,
  type StoredClaim,
  type StoredSettlement,
} from "./claim-segment.js";
import type { RetentionLease } from "./retention-lease.js";

/** Result of an attempt to record a claim. */
export type RecordResult =
  /** The claim is in the log as the newest of its key. */
  | "recorded"
  /** Not written: the loaded log is outdated, or the key was claimed meanwhile. Check the log again. */
  | "overtaken"
  /** The store did not confirm the write. */
  | "unavailable";

/** Claim log of a shard. */
export interface ClaimLog {
  /** Finds the newest claim of a key in the loaded log. */
  find(key: string): IndexedClaim | undefined;
  /** Whether the whole log up to this entry's last write is loaded and recent enough to grant claims. */
  isLoaded(): boolean;
  /** Reads the whole log from the store; returns false when the store fails or a segment is unreadable. */
  load(): Promise<boolean>;
  /**
   * Records a claim with the next group commit.
   * @param claim - the claim
   * @param isGrantable - checked again just before the write, since the log may have been reloaded in the meantime
   * @returns whether the claim was recorded, or why not
   */
  record(claim: StoredClaim, isGrantable: () => boolean): Promise<RecordResult>;
  /** Queues the end of a claim, to be written with the next group commit. */
  queueSettlement(settlement: StoredSettlement): void;
  /** Writes the queued ends now, if the log is loaded. */
  flush(): Promise<void>;
  /** Number of keys in the loaded log. */
  size(): number;
}

/** Options of {@link createClaimLog}. */
export interface ClaimLogOptions {
  readonly store: StoreClient;
  readonly shard: number;
  /** Unique for each start of a process, so that a writer recognizes its own segments. */
  readonly writerId: string;
  readonly lease: RetentionLease;
  /** Minimum time between two group commits. */
  readonly commitMilliseconds: number;
  /** Minimum time for which the store keeps a segment. */
  readonly retentionMilliseconds: number;
  readonly now: () => number;
}

interface PendingClaim {
  readonly claim: StoredClaim;
  readonly isGrantable: () => boolean;
  readonly resolve: (result: RecordResult) => void;
}

/** Maximum number of claims in one group commit. */
const claimsPerSegment = 5_000;
/** Maximum number of settlements that wait for a commit. The oldest is dropped beyond it, and is missing in the log. */
const maximumPendingSettlements = 5_000;

/**
 * Creates the log of a shard.
 * @param options - store, shard and periods
 * @returns the log, not yet loaded
 */
export function createClaimLog(options: ClaimLogOptions): ClaimLog {
  return new StoredClaimLog(options);
}

class StoredClaimLog implements ClaimLog {
  readonly #options: ClaimLogOptions;
  #index: ClaimIndex = createClaimIndex();
  #loaded = false;
  /** Start of the last store call that confirmed that the loaded log was complete, in milliseconds since the epoch. */
  #confirmedAt = 0;
  #nextSequence = 0;
  #nextSegmentNumber = 1;
  #lastCommitAt = 0;
  #pendingClaims: PendingClaim[] = [];
  #pendingSettlements: StoredSettlement[] = [];
  #committing = false;
  #loading: Promise<boolean> | undefined;
  #lastOperation: Promise<void> = Promise.resolve();

  constructor(options: ClaimLogOptions) {
    this.#options = options;
  }

  find(key: string): IndexedClaim | undefined {
    return this.#index.find(key);
  }

  isLoaded(): boolean {
    // After more than half of the retention time, another owner's segments could have been written and have expired
    // without this entry ever reading them.
    const age = this.#options.now() - this.#confirmedAt;
    return this.#loaded && age < this.#options.retentionMilliseconds / 2;
  }

  async load(): Promise<boolean> {
    this.#loading ??= this.#runExclusively(async () => this.#readAll()).finally(() => {
      this.#loading = undefined;
    });
    return this.#loading;
  }

  async record(claim: StoredClaim, isGrantable: () => boolean): Promise<RecordResult> {
    const result = new Promise<RecordResult>((resolve) => {
      this.#pendingClaims.push({ claim, isGrantable, resolve });
    });
    if (!this.#committing) void this.#commitAll();
    return result;
  }

  queueSettlement(settlement: StoredSettlement): void {
    this.#pendingSettlements.push(settlement);
    if (this.#pendingSettlements.length > maximumPendingSettlements) this.#pendingSettlements.shift();
  }

  async flush(): Promise<void> {
    await this.#runExclusively(async () => {
      if (this.#pendingSettlements.length === 0 || !this.isLoaded()) return;
      const leaseId = await this.#options.lease.current();
      if (leaseId !== undefined) await this.#commit([], leaseId);
    });
  }

  size(): number {
    return this.#index.size();
  }

  /** Runs reads and writes of the log one at a time, so that a read never misses a write of this entry. */
  async #runExclusively<Result>(action: () => Promise<Result>): Promise<Result> {
    const result = this.#lastOperation.then(action);
    this.#lastOperation = result.then(() => undefined);
    return result;
  }

  async #readAll(): Promise<boolean> {
    const { store, shard, now } = this.#options;
    const startedAt = now();
    const listing = await store.list(shardPrefix(shard));
    if (listing.isLeft()) return false;
    const { records } = listing.unsafeCoerce();
    const index = createClaimIndex();
    let nextSequence = 0;
    for (const { key, value } of records) {
      const segment = parseWith(claimSegmentSchema, value);
      // An unreadable segment may contain claims, so no claim may be granted.
      if (segment.isLeft()) return false;
      index.add(segment.unsafeCoerce());
      nextSequence = segmentSequence(key) + 1;
    }
    this.#index = index;
    this.#nextSequence = nextSequence;
    this.#loaded = true;
    this.#confirmedAt = startedAt;
    return true;
  }

  async #commitAll(): Promise<void> {
    this.#committing = true;
    while (this.#pendingClaims.length > 0) {
      const { commitMilliseconds, now } = this.#options;
      const wait = this.#lastCommitAt + commitMilliseconds - now();
      if (wait > 0) await delay(Math.min(wait, commitMilliseconds));
      const batch = this.#pendingClaims.splice(0, claimsPerSegment);
      await this.#runExclusively(async () => this.#commitBatch(batch));
    }
    this.#committing = false;
  }

  async #commitBatch(batch: readonly PendingClaim[]): Promise<void> {
    const leaseId = await this.#options.lease.current();
    const isLoaded = this.isLoaded();
    const grantable: PendingClaim[] = [];
    for (const each of batch) {
      if (isLoaded && each.isGrantable()) grantable.push(each);
      else each.resolve("overtaken");
    }
    if (grantable.length === 0) return;
    const claims = grantable.map(({ claim }) => claim);
    const result = leaseId === undefined ? "unavailable" : await this.#commit(claims, leaseId);
    for (const { resolve } of grantable) resolve(result);
  }

  async #commit(claims: readonly StoredClaim[], leaseId: string): Promise<RecordResult> {
    const { lease, writerId, now, retentionMilliseconds } = this.#options;
    const startedAt = now();
    this.#lastCommitAt = startedAt;
    const segmentId = `${writerId}/${this.#nextSegmentNumber}`;
    this.#nextSegmentNumber += 1;
    const settlements = this.#pendingSettlements.splice(0);
    const segment = { segmentId, writtenAt: startedAt, claims: [...claims], settlements };
    const result = await this.#write(segment, leaseId);
    if (result.kind === "done") {
      this.#nextSequence += 1;
      this.#confirmedAt = startedAt;
      this.#index.dropSegmentsBefore(startedAt - retentionMilliseconds);
      this.#index.add(segment);
      return "recorded";
    }
    this.#pendingSettlements.unshift(...settlements);
    if (result.kind === "not-done") return "unavailable";
    // The write may still take effect, or another owner has written a segment: the loaded log may be outdated.
    this.#loaded = false;
    if (result.kind === "unknown") return "unavailable";
    if (result.current === undefined) lease.forget();
    return "overtaken";
  }

  async #write(segment: ClaimSegment, leaseId: string): Promise<WriteResult> {
    const key = segmentKey(this.#options.shard, this.#nextSequence);
    const write = { key, value: segment, expectedRevision: 0, leaseId };
    const isOwn = (value: unknown): boolean => {
      const parsed = parseWith(claimSegmentSchema, value);
      return parsed.map(({ segmentId }) => segmentId === segment.segmentId).orDefault(false);
    };
    return writeAndSettle(this.#options.store, write, isOwn);
  }
}
