/**
 * Allocator without coordination: picks two random targets and grants a slot on the one with fewer requests in progress
 * from this entry. Entries do not share their counts, so together they may exceed a target's slots.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { PlacementView, Target } from "../pools/index.js";
import type { Random } from "../shared/index.js";
import type { SlotAllocator, SlotRequest, SlotGrant, SlotRefusal } from "./slot-allocator.js";

/** Settings of the allocator. */
export interface IndependentAllocatorOptions {
  readonly view: PlacementView;
  readonly random: Random;
  /** Maximum number of slots that this entry uses on one target. */
  readonly slotsPerTarget: number;
}

const retryAfterMilliseconds = 1_000;

/** Naive allocator that uses this entry's own counts only. */
export class IndependentAllocator implements SlotAllocator {
  readonly #options: IndependentAllocatorOptions;
  readonly #inProgress = new Map<string, number>();
  #nextGrant = 1;

  /**
   * Creates an allocator without slots in use.
   * @param options - the placement view, the random source and the limit for each target
   */
  constructor(options: IndependentAllocatorOptions) {
    this.#options = options;
  }

  async acquire(slotRequest: SlotRequest): Promise<Either<SlotRefusal, SlotGrant>> {
    await Promise.resolve();
    const candidates = this.#options.view
      .serving(slotRequest.pool)
      .filter(({ instanceId }) => !slotRequest.excludedInstances.includes(instanceId));
    if (candidates.length === 0) return Left({ reason: "no-target", retryAfterMilliseconds });
    const free = candidates.filter(
      ({ instanceId }) => this.inProgress(instanceId) < this.#options.slotsPerTarget,
    );
    const target = this.#pickLessLoaded(free);
    if (target === undefined) return Left({ reason: "overloaded", retryAfterMilliseconds });
    this.#inProgress.set(target.instanceId, this.inProgress(target.instanceId) + 1);
    const grantId = String(this.#nextGrant);
    this.#nextGrant += 1;
    return Right({ grantId, target });
  }

  release(grant: SlotGrant): void {
    const { instanceId } = grant.target;
    this.#inProgress.set(instanceId, Math.max(0, this.inProgress(instanceId) - 1));
  }

  inProgress(instanceId: string): number {
    return this.#inProgress.get(instanceId) ?? 0;
  }

  close(): void {
    this.#inProgress.clear();
  }

  #pickLessLoaded(targets: readonly Target[]): Target | undefined {
    if (targets.length === 0) return undefined;
    const { random } = this.#options;
    const first = targets[random.integer(0, targets.length - 1)];
    const second = targets[random.integer(0, targets.length - 1)];
    if (first === undefined || second === undefined) return first;
    return this.inProgress(second.instanceId) < this.inProgress(first.instanceId) ? second : first;
  }
}
