/**
 * Watches the slots of all entries together around their allocators.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type {
  OwnerAllocatorOptions,
  SlotAllocator,
  SlotRequest,
  SlotGrant,
  SlotRefusal,
} from "../routing/index.js";

/** What the probe saw. */
export interface TurnCounts {
  granted: number;
  overloaded: number;
  /** Refusals for overload while a slot had stood free for longer than messages need. */
  overloadedWhileFree: number;
  /** Grants that found all slots of their target taken. */
  overSlots: number;
  readonly waits: number[];
}

/** Watches the slots of all entries. */
export interface TurnProbe {
  readonly counts: TurnCounts;
  /** Sets which targets are watched and how many slots each has. */
  watch(instanceIds: readonly string[], slots: number): void;
  /** Leaves a target out from now on: slots of one that fails everything are meant to stand free. */
  ignore(instanceId: string): void;
  /** Puts the probe around an entry's allocator. */
  wrap(allocator: SlotAllocator): SlotAllocator;
}

/** Creates an allocator from the options of an entry. */
export type AllocatorFactory = (options: OwnerAllocatorOptions) => SlotAllocator;

/** A slot that changes hands is free for as long as its messages travel. */
const freeMilliseconds = 50;

/**
 * Creates a probe.
 * @returns the probe, watching nothing
 */
export function createTurnProbe(): TurnProbe {
  const counts: TurnCounts = { granted: 0, overloaded: 0, overloadedWhileFree: 0, overSlots: 0, waits: [] };
  const inUse = new Map<string, number>();
  const freeSince = new Map<string, number>();
  const ignored = new Set<string>();
  let slots = 0;

  const change = (instanceId: string, amount: number): void => {
    const next = (inUse.get(instanceId) ?? 0) + amount;
    inUse.set(instanceId, next);
    if (amount > 0 && next > slots) counts.overSlots += 1;
    if (next >= slots || ignored.has(instanceId)) freeSince.delete(instanceId);
    else if (!freeSince.has(instanceId)) freeSince.set(instanceId, performance.now());
  };

  const countRefusal = (refusal: SlotRefusal): void => {
    if (refusal.reason !== "overloaded") return;
    counts.overloaded += 1;
    const now = performance.now();
    if ([...freeSince.values()].some((since) => now - since > freeMilliseconds)) {
      counts.overloadedWhileFree += 1;
    }
  };

  const acquire = async (
    allocator: SlotAllocator,
    slotRequest: SlotRequest,
    signal: AbortSignal,
  ): Promise<Either<SlotRefusal, SlotGrant>> => {
    const startedAt = performance.now();
    const result = await allocator.acquire(slotRequest, signal);
    result.ifLeft(countRefusal).ifRight(({ target }) => {
      counts.granted += 1;
      counts.waits.push(performance.now() - startedAt);
      change(target.instanceId, 1);
    });
    return result;
  };

  return {
    counts,
    watch: (instanceIds, slotCount) => {
      slots = slotCount;
      for (const instanceId of instanceIds) freeSince.set(instanceId, performance.now());
    },
    ignore: (instanceId) => {
      ignored.add(instanceId);
      freeSince.delete(instanceId);
    },
    wrap: (allocator) => ({
      acquire: async (slotRequest, signal) => acquire(allocator, slotRequest, signal),
      release: (grant, use) => {
        change(grant.target.instanceId, -1);
        allocator.release(grant, use);
      },
      inProgress: (instanceId) => allocator.inProgress(instanceId),
      close: () => {
        allocator.close();
      },
    }),
  };
}
