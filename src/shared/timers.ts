/**
 * Waiting, and waiting with a bound.
 * @packageDocumentation
 */

/**
 * Waits.
 * @param milliseconds - how long
 * @param signal - ends the wait early
 * @returns a promise that resolves after the time, or at once when the signal aborts; it never rejects
 */
export async function delay(milliseconds: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted === true) return;
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", finish);
      resolve();
    };
    const timer = setTimeout(finish, milliseconds);
    signal?.addEventListener("abort", finish, { once: true });
  });
}

/** A wait that others can end, for loops that have nothing to do until they learn of something. */
export class Pause {
  #isEnded = false;
  #finish: (() => void) | undefined;

  /**
   * Waits.
   * @param milliseconds - how long
   * @returns a promise that resolves after the time, or when the pause is ended; at once when it was ended before
   */
  async wait(milliseconds: number): Promise<void> {
    if (!this.#isEnded) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, milliseconds);
        this.#finish = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    this.#finish = undefined;
    this.#isEnded = false;
  }

  /** Ends the wait, or the next one when there is none now. */
  end(): void {
    this.#isEnded = true;
    this.#finish?.();
  }
}

/**
 * Bounds the wait for a promise. The promise itself goes on.
 * @param promise - what is waited for
 * @param milliseconds - the bound
 * @param fallback - the result when the bound passes first
 * @returns the promise's result or the fallback
 */
export async function withTimeout<Value>(
  promise: Promise<Value>,
  milliseconds: number,
  fallback: Value,
): Promise<Value> {
  let timer: NodeJS.Timeout | undefined;
  const bound = new Promise<Value>((resolve) => {
    timer = setTimeout(() => {
      resolve(fallback);
    }, milliseconds);
  });
  try {
    return await Promise.race([promise, bound]);
  } finally {
    clearTimeout(timer);
  }
}
