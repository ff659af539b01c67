/**
 * A timer that runs only while there is something to do for it.
 * @packageDocumentation
 */

/** A timer that runs only while there is something to do for it. */
export interface Ticker {
  /** Starts it unless it runs. */
  start(): void;
  /** Stops it for good. */
  close(): void;
}

/**
 * Creates a ticker that does not run yet.
 * @param milliseconds - its interval
 * @param tick - called at the end of each interval; tells whether another one is needed
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
