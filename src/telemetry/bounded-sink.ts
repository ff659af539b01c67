/**
 * Writes log lines to a stream without blocking on a slow reader: lines beyond a bounded buffer are dropped.
 * @packageDocumentation
 */
import type { Writable } from "node:stream";

/** Buffer limit for a slow reader; further lines are dropped and counted, so that memory stays bounded. */
const maximumBufferedBytes = 262_144;
/** Lines of one event loop iteration are written as one batch, unless the batch reaches this length earlier. */
const batchCharacters = 16_384;

/** Destination for formatted log lines. */
export interface BoundedSink {
  readonly write: (line: string) => void;
  /** Writes the current batch to the stream immediately, for example before the process exits. */
  readonly flush: () => void;
  /** Number of lines dropped so far. */
  dropped(): number;
}

/**
 * Creates a sink that batches lines and drops them while the stream's buffer is full.
 * @param stream - destination, such as standard output; its errors count as a dropped line and are otherwise ignored
 * @param now - clock for the timestamp of the line that reports dropped lines
 * @returns the sink; it reports the number of dropped lines before the first line that is written again
 */
export function createBoundedSink(stream: Writable, now: () => Date = () => new Date()): BoundedSink {
  let dropped = 0;
  let unreportedCount = 0;
  let batch = "";
  let isFlushScheduled = false;
  // Without a listener, the error of a reader that closes its end would terminate the process.
  stream.on("error", () => {
    dropped += 1;
  });

  const flush = (): void => {
    if (batch === "") return;
    const text = batch;
    batch = "";
    stream.write(text);
  };
  const scheduleFlush = (): void => {
    if (isFlushScheduled) return;
    isFlushScheduled = true;
    setImmediate(() => {
      isFlushScheduled = false;
      flush();
    });
  };
  const appendToBatch = (line: string): void => {
    batch += `${line}\n`;
    if (batch.length >= batchCharacters) flush();
    else scheduleFlush();
  };

  return {
    dropped: () => dropped,
    flush,
    write: (line) => {
      if (stream.writableLength + batch.length > maximumBufferedBytes) {
        dropped += 1;
        unreportedCount += 1;
        return;
      }
      if (unreportedCount > 0) {
        appendToBatch(
          `time=${now().toISOString()} level=warn event=log-lines-dropped count=${unreportedCount}`,
        );
        unreportedCount = 0;
      }
      appendToBatch(line);
    },
  };
}
