/**
 * Collects a body that arrives in chunks. The chunks are copied, so that none of them stays in memory by itself.
 * @packageDocumentation
 */

/** Why a chunk was not taken. */
export type BodyExcess = "too-large" | "no-memory";

const firstCapacityBytes = 1_024;

/** One growing buffer. */
export class BodyBuffer {
  readonly #maximumBytes: number;
  readonly #hold: (bytes: number) => boolean;
  #buffer: Buffer = Buffer.alloc(0);
  #size = 0;

  /**
   * Creates an empty buffer.
   * @param maximumBytes - the largest body
   * @param hold - asks for memory before the buffer grows by a number of bytes; false refuses it
   */
  constructor(maximumBytes: number, hold: (bytes: number) => boolean) {
    this.#maximumBytes = maximumBytes;
    this.#hold = hold;
  }

  /**
   * Appends a chunk.
   * @param chunk - bytes, which are copied
   * @returns why the chunk was not taken; undefined if it was
   */
  append(chunk: Buffer): BodyExcess | undefined {
    const size = this.#size + chunk.length;
    if (size > this.#maximumBytes) return "too-large";
    if (size > this.#buffer.length && !this.#growTo(size)) return "no-memory";
    chunk.copy(this.#buffer, this.#size);
    this.#size = size;
    return undefined;
  }

  /** Returns the body so far; later chunks do not change it. */
  bytes(): Buffer {
    return this.#buffer.subarray(0, this.#size);
  }

  /** Forgets the body. */
  clear(): void {
    this.#buffer = Buffer.alloc(0);
    this.#size = 0;
  }

  #growTo(size: number): boolean {
    const doubled = Math.max(firstCapacityBytes, this.#buffer.length * 2, size);
    const capacity = Math.min(doubled, this.#maximumBytes);
    if (!this.#hold(capacity - this.#buffer.length)) return false;
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.#buffer.copy(grown, 0, 0, this.#size);
    this.#buffer = grown;
    return true;
  }
}
