/**
 * The log of one key shard: group commits, fenced by creating the next segment only if it is absent.
 * Whoever else has written the next segment owns the log now; the loser reads the log again before it grants.
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

/** How an attempt to record a claim ended. */
export type RecordResult =
  /** The claim is in the log as the newest of its key. */
  | "recorded"
  /** The log is not known well enough; look at it again. */
  | "overtaken"
  /** The store did not confirm. */
  | "unavailable";

/** The log of a shard. */
export interface ClaimLog {
  /** Finds the newest known claim of a key. */
  find(key: string): IndexedClaim | undefined;
  /** Whether the whole log up to this entry's last write is known. */
  isLoaded(): boolean;
  /** Reads the whole log; returns whether the store answered. */
  load(): Promise<boolean>;
  /**
   * Records a claim with the next group commit.
   * @param claim - the claim
   * @param isGrantable - asked once more just before the write, since the log may have been read anew meanwhile
   * @returns how it ended
   */
  record(claim: StoredClaim, isGrantable: () => boolean): Promise<RecordResult>;
  /** Records the end of a claim along with the next group commit that a claim causes. */
  note(settlement: StoredSettlement): void;
  /** Writes the noted ends now, if the log is known. */
  flush(): Promise<void>;
  /** How many keys are known. */
  size(): number;
}

/** What a log works with. */
export interface ClaimLogOptions {
  readonly store: StoreClient;
  readonly shard: number;
  /** Unique for each process. */
  readonly writerId: string;
  readonly lease: RetentionLease;
  /** Least time between two group commits. */
  readonly commitMilliseconds: number;
  /** How long a segment lasts at least. */
  readonly retentionMilliseconds: number;
  readonly now: () => number;
}

interface WaitingClaim {
  readonly claim: StoredClaim;
  readonly isGrantable: () => boolean;
  readonly resolve: (result: RecordResult) => void;
}

const claimsPerSegment = 5_000;
const notesPerSegment = 5_000;

/**
 * Creates the log of a shard, not yet loaded.
 * @param options - store, shard and periods
 * @returns the log
 */
export function createClaimLog(options: ClaimLogOptions): ClaimLog {
  return new StoredClaimLog(options);
}

class StoredClaimLog implements ClaimLog {
  readonly #options: ClaimLogOptions;
  #index: ClaimIndex = createClaimIndex();
  #loaded = false;
  /** Start of the last call that proved this entry's view of the log. */
  #confirmedAt = 0;
  #nextSequence = 0;
  #nextSegment = 1;
  #lastCommitAt = 0;
  #waiting: WaitingClaim[] = [];
  #notes: StoredSettlement[] = [];
  #committing = false;
  #loading: Promise<boolean> | undefined;
  #last: Promise<void> = Promise.resolve();

  constructor(options: ClaimLogOptions) {
    this.#options = options;
  }

  find(key: string): IndexedClaim | undefined {
    return this.#index.find(key);
  }

  isLoaded(): boolean {
    // Beyond half of the retention time another owner's segments could have come and gone unseen.
    const age = this.#options.now() - this.#confirmedAt;
    return this.#loaded && age < this.#options.retentionMilliseconds / 2;
  }

  async load(): Promise<boolean> {
    this.#loading ??= this.#exclusively(async () => this.#readAll()).finally(() => {
      this.#loading = undefined;
    });
    return this.#loading;
  }

  async record(claim: StoredClaim, isGrantable: () => boolean): Promise<RecordResult> {
    const result = new Promise<RecordResult>((resolve) => {
      this.#waiting.push({ claim, isGrantable, resolve });
    });
    if (!this.#committing) void this.#commitAll();
    return result;
  }

  note(settlement: StoredSettlement): void {
    this.#notes.push(settlement);
    if (this.#notes.length > notesPerSegment) this.#notes.shift();
  }

  async flush(): Promise<void> {
    await this.#exclusively(async () => {
      if (this.#notes.length === 0 || !this.isLoaded()) return;
      const leaseId = await this.#options.lease.current();
      if (leaseId !== undefined) await this.#commit([], leaseId);
    });
  }

  size(): number {
    return this.#index.size();
  }

  /** Runs reads and writes of the log one after the other, so that a read never misses a write of this entry. */
  async #exclusively<Result>(action: () => Promise<Result>): Promise<Result> {
    const result = this.#last.then(action);
    this.#last = result.then(() => undefined);
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
      // A segment that cannot be read hides claims, so that nothing may be granted.
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
    while (this.#waiting.length > 0) {
      const { commitMilliseconds, now } = this.#options;
      const wait = this.#lastCommitAt + commitMilliseconds - now();
      if (wait > 0) await delay(Math.min(wait, commitMilliseconds));
      const batch = this.#waiting.splice(0, claimsPerSegment);
      await this.#exclusively(async () => this.#commitBatch(batch));
    }
    this.#committing = false;
  }

  async #commitBatch(batch: readonly WaitingClaim[]): Promise<void> {
    const leaseId = await this.#options.lease.current();
    const isLoaded = this.isLoaded();
    const grantable: WaitingClaim[] = [];
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
    const segmentId = `${writerId}/${this.#nextSegment}`;
    this.#nextSegment += 1;
    const settlements = this.#notes.splice(0);
    const segment = { segmentId, writtenAt: startedAt, claims: [...claims], settlements };
    const result = await this.#write(segment, leaseId);
    if (result.kind === "done") {
      this.#nextSequence += 1;
      this.#confirmedAt = startedAt;
      this.#index.forgetBefore(startedAt - retentionMilliseconds);
      this.#index.add(segment);
      return "recorded";
    }
    this.#notes.unshift(...settlements);
    if (result.kind === "not-done") return "unavailable";
    // The write may still take effect, or another owner wrote: only the store knows the log now.
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
