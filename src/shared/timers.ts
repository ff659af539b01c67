/**
 * Delays that can be ended early, and promises with a timeout.
 * @packageDocumentation
 */

/**
 * Waits for a time or until a signal aborts.
 * @param milliseconds - time to wait
 * @param signal - ends the wait early; an already aborted signal skips it
 * @returns a promise that resolves after the time or when the signal aborts; it never rejects
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

/** A delay that can be ended early, for loops that other code wakes up. Supports one waiter at a time. */
export class Pause {
  #isEnded = false;
  #finish: (() => void) | undefined;

  /**
   * Waits for a time or until `end` is called.
   * @param milliseconds - time to wait
   * @returns a promise that resolves after the time or on `end`; at once when `end` was called since the last wait
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

  /** Ends the current wait; without one the next wait ends at once, so that no wake-up is lost. */
  end(): void {
    this.#isEnded = true;
    this.#finish?.();
  }
}

/**
 * Waits for a promise with a timeout. The operation behind the promise is not cancelled.
 * @param promise - the promise to wait for; its rejection is passed on if it comes before the timeout
 * @param milliseconds - the timeout
 * @param fallback - the result when the timeout passes first
 * @returns the promise's result or the fallback
 */
export async function withTimeout<Value>(
  promise: Promise<Value>,
  milliseconds: number,
  fallback: Value,
): Promise<Value> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<Value>((resolve) => {
    timer = setTimeout(() => {
      resolve(fallback);
    }, milliseconds);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
