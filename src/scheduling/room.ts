/**
 * Room that is taken and given back over time.
 * @packageDocumentation
 */
import type { Resources } from "../jobs/index.js";

/** No room. */
export const noResources: Resources = { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };

/** Room, of which a part may be shared with others. */
export class Room {
  #cpuMillicores = 0;
  #memoryMegabytes = 0;
  #accelerators = 0;
  #shared: Resources;

  /**
   * Creates room of which nothing is taken.
   * @param capacity - all of it
   */
  constructor(capacity: Resources) {
    this.#shared = capacity;
  }

  /** Replaces the room that is shared with others; what was taken here stays taken. */
  setShared(shared: Resources): void {
    this.#shared = shared;
  }

  /** What is left. */
  left(): Resources {
    const { cpuMillicores, memoryMegabytes, accelerators } = this.#shared;
    return {
      cpuMillicores: cpuMillicores - this.#cpuMillicores,
      memoryMegabytes: memoryMegabytes - this.#memoryMegabytes,
      accelerators: accelerators - this.#accelerators,
    };
  }

  /** What was taken here. */
  taken(): Resources {
    return {
      cpuMillicores: this.#cpuMillicores,
      memoryMegabytes: this.#memoryMegabytes,
      accelerators: this.#accelerators,
    };
  }

  /** How many tasks fit. */
  count(needs: Resources): number {
    const { cpuMillicores, memoryMegabytes, accelerators } = this.#shared;
    const byCpu = howOften(cpuMillicores - this.#cpuMillicores, needs.cpuMillicores);
    if (byCpu === 0) return 0;
    const byMemory = howOften(memoryMegabytes - this.#memoryMegabytes, needs.memoryMegabytes);
    const byAccelerators = howOften(accelerators - this.#accelerators, needs.accelerators);
    return Math.min(byCpu, byMemory, byAccelerators);
  }

  /** Takes room `count` times; a negative number gives it back. */
  take({ cpuMillicores, memoryMegabytes, accelerators }: Resources, count: number): void {
    this.#cpuMillicores += cpuMillicores * count;
    this.#memoryMegabytes += memoryMegabytes * count;
    this.#accelerators += accelerators * count;
  }
}

function howOften(left: number, needed: number): number {
  if (needed <= 0) return Infinity;
  return Math.max(0, Math.floor(left / needed));
}
