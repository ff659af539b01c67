/**
 * Allocator decorator that grants slots only while this entry's view of the placement is confirmed. The check follows
 * the grant, because the view may have become unconfirmed while the request waited.
 * @packageDocumentation
 */
import { Left, type Either } from "purify-ts";
import type { SlotAllocator, SlotRequest, SlotGrant, SlotRefusal, SlotUse } from "./slot-allocator.js";

const retryAfterMilliseconds = 1_000;

/** Releases the grants of an inner allocator and refuses the requests while the placement view is not confirmed. */
export class ConfirmedViewAllocator implements SlotAllocator {
  readonly #inner: SlotAllocator;
  readonly #isConfident: () => boolean;

  /**
   * Wraps an allocator.
   * @param inner - the allocator that grants the slots
   * @param isConfident - returns whether the view is confirmed, so that this entry may send requests to targets
   */
  constructor(inner: SlotAllocator, isConfident: () => boolean) {
    this.#inner = inner;
    this.#isConfident = isConfident;
  }

  async acquire(slotRequest: SlotRequest, signal: AbortSignal): Promise<Either<SlotRefusal, SlotGrant>> {
    const granted = await this.#inner.acquire(slotRequest, signal);
    if (granted.isLeft() || this.#isConfident()) return granted;
    this.#inner.release(granted.unsafeCoerce(), { verdict: "neutral", runMilliseconds: 0 });
    return Left({ reason: "unavailable", retryAfterMilliseconds });
  }

  release(grant: SlotGrant, use: SlotUse): void {
    this.#inner.release(grant, use);
  }

  inProgress(instanceId: string): number {
    return this.#inner.inProgress(instanceId);
  }

  close(): void {
    this.#inner.close();
  }
}
