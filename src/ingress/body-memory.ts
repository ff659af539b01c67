/**
 * Limits the memory that request and answer bodies use in this entry.
 * @packageDocumentation
 */

/** Account of the memory used by bodies. */
export interface BodyMemory {
  /**
   * Reserves memory for a request body.
   * @param bytes - size of the body
   * @returns whether the memory was reserved; if false, it must not be released
   */
  reserve(bytes: number): boolean;
  /**
   * Adds an answer that is in memory already, even beyond the limit. New requests are refused while the limit is
   * exceeded.
   */
  add(bytes: number): void;
  /** Releases memory that was reserved or added. */
  release(bytes: number): void;
  /** Bytes reserved or added, and not yet released. */
  reserved(): number;
}

/**
 * Creates an account with no memory in use.
 * @param maximumBytes - limit for reservations
 * @returns the account
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
