/**
 * Grants slots only while this entry's view of the placement is confirmed. A request may have waited for its slot
 * since the view was last judged.
 * @packageDocumentation
 */
import { Left, type Either } from "purify-ts";
import type { SlotAllocator, SlotRequest, SlotGrant, SlotRefusal, SlotUse } from "./slot-allocator.js";

const retryAfterMilliseconds = 1_000;

/** Refuses what another allocator grants while the view is not confirmed. */
export class ConfirmedViewAllocator implements SlotAllocator {
  readonly #granting: SlotAllocator;
  readonly #isConfident: () => boolean;

  /**
   * Creates an allocator.
   * @param granting - grants the slots
   * @param isConfident - whether this entry may send requests to targets
   */
  constructor(granting: SlotAllocator, isConfident: () => boolean) {
    this.#granting = granting;
    this.#isConfident = isConfident;
  }

  async acquire(slotRequest: SlotRequest, signal: AbortSignal): Promise<Either<SlotRefusal, SlotGrant>> {
    const granted = await this.#granting.acquire(slotRequest, signal);
    if (granted.isLeft() || this.#isConfident()) return granted;
    this.#granting.release(granted.unsafeCoerce(), { verdict: "neutral", runMilliseconds: 0 });
    return Left({ reason: "unavailable", retryAfterMilliseconds });
  }

  release(grant: SlotGrant, use: SlotUse): void {
    this.#granting.release(grant, use);
  }

  inProgress(instanceId: string): number {
    return this.#granting.inProgress(instanceId);
  }

  close(): void {
    this.#granting.close();
  }
}
