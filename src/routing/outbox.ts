/**
 * Messages to one peer: sent in batches, again until acknowledged. A batch that is sent again may come after a
 * later one, so that every message must be harmless when it comes late or twice.
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
const maximumInFlight = 4;
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
  let isScheduled = false;
  let inFlight = 0;

  const sendBatch = async (batch: readonly Message[]): Promise<void> => {
    inFlight += 1;
    while (!stop.signal.aborted && !(await send(batch))) await delay(retryMilliseconds, stop.signal);
    inFlight -= 1;
    schedule();
  };

  const flush = (): void => {
    isScheduled = false;
    while (waiting.length > 0 && inFlight < maximumInFlight && !stop.signal.aborted) {
      void sendBatch(waiting.splice(0, maximumBatch));
    }
  };

  const schedule = (): void => {
    if (isScheduled || waiting.length === 0) return;
    isScheduled = true;
    // What the present turn of the event loop still adds goes with the same batch.
    setImmediate(flush);
  };

  return {
    push: (message) => {
      if (stop.signal.aborted) return;
      waiting.push(message);
      schedule();
    },
    isIdle: () => waiting.length === 0 && inFlight === 0,
    close: () => {
      stop.abort();
      waiting = [];
    },
  };
}
