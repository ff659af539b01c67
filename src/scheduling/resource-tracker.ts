/**
 * Room that is taken and given back over time.
 * @packageDocumentation
 */
import type { Resources } from "../jobs/index.js";

/** No room. */
export const noResources: Resources = { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };

/** Room, of which a part may be shared with others. */
export class ResourceTracker {
  #cpuMillicores = 0;
  #memoryMegabytes = 0;
  #accelerators = 0;
  #capacity: Resources;

  /**
   * Creates room of which nothing is taken.
   * @param capacity - all of it
   */
  constructor(capacity: Resources) {
    this.#capacity = capacity;
  }

  /** Replaces the room that is shared with others; what was taken here stays taken. */
  setCapacity(shared: Resources): void {
    this.#capacity = shared;
  }

  /** What is left. */
  remaining(): Resources {
    const { cpuMillicores, memoryMegabytes, accelerators } = this.#capacity;
    return {
      cpuMillicores: cpuMillicores - this.#cpuMillicores,
      memoryMegabytes: memoryMegabytes - this.#memoryMegabytes,
      accelerators: accelerators - this.#accelerators,
    };
  }

  /** What was taken here. */
  used(): Resources {
    return {
      cpuMillicores: this.#cpuMillicores,
      memoryMegabytes: this.#memoryMegabytes,
      accelerators: this.#accelerators,
    };
  }

  /** How many tasks fit. */
  countFitting(needs: Resources): number {
    const { cpuMillicores, memoryMegabytes, accelerators } = this.#capacity;
    const byCpu = countFits(cpuMillicores - this.#cpuMillicores, needs.cpuMillicores);
    if (byCpu === 0) return 0;
    const byMemory = countFits(memoryMegabytes - this.#memoryMegabytes, needs.memoryMegabytes);
    const byAccelerators = countFits(accelerators - this.#accelerators, needs.accelerators);
    return Math.min(byCpu, byMemory, byAccelerators);
  }

  /** Takes room `count` times; a negative number gives it back. */
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
