/**
 * A periodic timer that stops when it is no longer needed.
 * @packageDocumentation
 */

/** A periodic timer that stops when it is no longer needed. */
export interface Ticker {
  /** Starts the timer unless it is running or closed. */
  start(): void;
  /** Stops the timer for good. */
  close(): void;
}

/**
 * Creates a stopped ticker.
 * @param milliseconds - interval between two ticks
 * @param tick - called at the end of each interval; returns false to stop the timer until the next `start`
 * @returns the ticker
 */
export function createTicker(milliseconds: number, tick: () => boolean): Ticker {
  let timer: NodeJS.Timeout | undefined;
  let isClosed = false;
  const start = (): void => {
    if (!isClosed) timer ??= setTimeout(run, milliseconds);
  };
  const run = (): void => {
    timer = undefined;
    if (tick()) start();
  };
  return {
    start,
    close: () => {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}
