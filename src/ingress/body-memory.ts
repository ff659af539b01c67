/**
 * Bounds the memory that request and answer bodies take in this entry.
 * @packageDocumentation
 */

/** Memory for bodies. */
export interface BodyMemory {
  /**
   * Reserves memory for a request body.
   * @param bytes - how much
   * @returns whether there was room; a refused reservation needs no release
   */
  reserve(bytes: number): boolean;
  /** Counts an answer that is there already; new requests are refused until it is released. */
  add(bytes: number): void;
  /** Gives memory back. */
  release(bytes: number): void;
  /** Bytes reserved now. */
  reserved(): number;
}

/**
 * Creates the memory.
 * @param maximumBytes - the bound
 * @returns the memory, all free
 */
export function createBodyMemory(maximumBytes: number): BodyMemory {
  let reserved = 0;
  return {
    reserve: (bytes) => {
      if (reserved + bytes > maximumBytes) return false;
      reserved += bytes;
      return true;
    },
    add: (bytes) => {
      reserved += bytes;
    },
    release: (bytes) => {
      reserved -= bytes;
    },
    reserved: () => reserved,
  };
}
