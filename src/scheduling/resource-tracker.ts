/**
 * Tracks which resources of a capacity are in use while a plan is simulated.
 * @packageDocumentation
 */
import type { Resources } from "../jobs/index.js";

/** Resources of 0. */
export const noResources: Resources = { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };

/** The resources in use out of a capacity that may change. */
export class ResourceTracker {
  #cpuMillicores = 0;
  #memoryMegabytes = 0;
  #accelerators = 0;
  #capacity: Resources;

  /**
   * Creates a tracker with nothing in use.
   * @param capacity - the capacity
   */
  constructor(capacity: Resources) {
    this.#capacity = capacity;
  }

  /** Replaces the capacity, which may then be smaller than the resources in use; these stay in use. */
  setCapacity(capacity: Resources): void {
    this.#capacity = capacity;
  }

  /** The unused resources; negative where more than the capacity is in use. */
  remaining(): Resources {
    const { cpuMillicores, memoryMegabytes, accelerators } = this.#capacity;
    return {
      cpuMillicores: cpuMillicores - this.#cpuMillicores,
      memoryMegabytes: memoryMegabytes - this.#memoryMegabytes,
      accelerators: accelerators - this.#accelerators,
    };
  }

  /** The resources in use. */
  used(): Resources {
    return {
      cpuMillicores: this.#cpuMillicores,
      memoryMegabytes: this.#memoryMegabytes,
      accelerators: this.#accelerators,
    };
  }

  /** How many tasks with these needs fit into the unused resources. */
  countFitting(needs: Resources): number {
    const { cpuMillicores, memoryMegabytes, accelerators } = this.#capacity;
    const byCpu = countFits(cpuMillicores - this.#cpuMillicores, needs.cpuMillicores);
    if (byCpu === 0) return 0;
    const byMemory = countFits(memoryMegabytes - this.#memoryMegabytes, needs.memoryMegabytes);
    const byAccelerators = countFits(accelerators - this.#accelerators, needs.accelerators);
    return Math.min(byCpu, byMemory, byAccelerators);
  }

  /** Marks the resources of `count` tasks as in use; a negative number releases them. */
  take({ cpuMillicores, memoryMegabytes, accelerators }: Resources, count: number): void {
    this.#cpuMillicores += cpuMillicores * count;
    this.#memoryMegabytes += memoryMegabytes * count;
    this.#accelerators += accelerators * count;
  }
}

function countFits(left: number, needed: number): number {
  if (needed <= 0) return Infinity;
  return Math.max(0, Math.floor(left / needed));
}
