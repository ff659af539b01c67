/**
 * Outgoing message queue for one peer. It sends batches and retries each until it is acknowledged. A retried batch may
 * arrive after a later one, so the receiver must tolerate late and duplicate messages.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";

/** Outgoing message queue for one peer. */
export interface Outbox<Message> {
  /**
   * Queues a message for the next batch.
   * @param message - dropped when the outbox is closed
   */
  push(message: Message): void;
  /**
   * Tells whether every message was acknowledged.
   * @returns true when no message is queued or in flight
   */
  isIdle(): boolean;
  /** Drops the queued messages and stops retries. */
  close(): void;
}

const maximumBatch = 500;
/** Maximum number of batches in flight. */
const maximumInFlight = 4;
/** Delay before a batch that was not acknowledged is sent again. */
const retryMilliseconds = 50;

/**
 * Creates an empty outbox.
 * @param send - sends a batch; resolves to whether the peer acknowledged it
 * @returns the outbox
 */
export function createOutbox<Message>(
  send: (messages: readonly Message[]) => Promise<boolean>,
): Outbox<Message> {
  const abortController = new AbortController();
  let queued: Message[] = [];
  let isScheduled = false;
  let inFlight = 0;

  const sendBatch = async (batch: readonly Message[]): Promise<void> => {
    inFlight += 1;
    while (!abortController.signal.aborted && !(await send(batch)))
      await delay(retryMilliseconds, abortController.signal);
    inFlight -= 1;
    schedule();
  };

  const flush = (): void => {
    isScheduled = false;
    while (queued.length > 0 && inFlight < maximumInFlight && !abortController.signal.aborted) {
      void sendBatch(queued.splice(0, maximumBatch));
    }
  };

  const schedule = (): void => {
    if (isScheduled || queued.length === 0) return;
    isScheduled = true;
    // Deferred so that messages pushed in the same event loop iteration join the batch.
    setImmediate(flush);
  };

  return {
    push: (message) => {
      if (abortController.signal.aborted) return;
      queued.push(message);
      schedule();
    },
    isIdle: () => queued.length === 0 && inFlight === 0,
    close: () => {
      abortController.abort();
      queued = [];
    },
  };
}
