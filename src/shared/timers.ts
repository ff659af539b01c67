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
