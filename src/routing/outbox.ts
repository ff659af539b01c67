/**
 * Messages to one peer: sent in order and in batches, one batch at a time, again until acknowledged.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";

/** Messages to one peer. */
export interface Outbox<Message> {
  /**
   * Adds a message; it goes with the next batch.
   * @param message - the message
   */
  push(message: Message): void;
  /**
   * Tells whether everything was acknowledged.
   * @returns true when no message waits or is under way
   */
  isIdle(): boolean;
  /** Drops the messages and stops sending. */
  close(): void;
}

const maximumBatch = 500;
const retryMilliseconds = 50;

/**
 * Creates an outbox.
 * @param send - sends a batch and tells whether it was acknowledged
 * @returns the outbox, empty
 */
export function createOutbox<Message>(
  send: (messages: readonly Message[]) => Promise<boolean>,
): Outbox<Message> {
  const stop = new AbortController();
  let waiting: Message[] = [];
  let running = false;

  const run = async (): Promise<void> => {
    running = true;
    // What the present turn of the event loop still adds goes with the same batch.
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
    while (waiting.length > 0 && !stop.signal.aborted) {
      const batch = waiting.slice(0, maximumBatch);
      if (await send(batch)) waiting = waiting.slice(batch.length);
      else await delay(retryMilliseconds, stop.signal);
    }
    running = false;
  };

  return {
    push: (message) => {
      if (stop.signal.aborted) return;
      waiting.push(message);
      if (!running) void run();
    },
    isIdle: () => waiting.length === 0,
    close: () => {
      stop.abort();
      waiting = [];
    },
  };
}
