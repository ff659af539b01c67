/**
 * Writes log lines to a stream without ever waiting for its reader.
 * @packageDocumentation
 */
import type { Writable } from "node:stream";

/** Bytes that wait for a slow reader; lines beyond are left out and counted. */
const maximumWaitingBytes = 262_144;
/** Lines of one turn of the event loop are written together, up to so many characters. */
const gatheredCharacters = 16_384;

/** Takes finished lines. */
export interface BoundedSink {
  readonly write: (line: string) => void;
  /** Hands the lines of this turn to the stream at once, as before the end of the process. */
  readonly flush: () => void;
  /** Lines left out so far. */
  dropped(): number;
}

/**
 * Creates a sink.
 * @param stream - where lines go, such as standard output
 * @param now - tells the time for the line that counts what was left out
 * @returns the sink; after a gap its next line says how many lines are missing
 */
export function createBoundedSink(stream: Writable, now: () => Date = () => new Date()): BoundedSink {
  let dropped = 0;
  let unreported = 0;
  let gathered = "";
  let isFlushDue = false;
  // A reader that goes away must not end the process.
  stream.on("error", () => {
    dropped += 1;
  });

  const flush = (): void => {
    if (gathered === "") return;
    const text = gathered;
    gathered = "";
    stream.write(text);
  };
  const flushLater = (): void => {
    if (isFlushDue) return;
    isFlushDue = true;
    setImmediate(() => {
      isFlushDue = false;
      flush();
    });
  };
  const gather = (line: string): void => {
    gathered += `${line}\n`;
    if (gathered.length >= gatheredCharacters) flush();
    else flushLater();
  };

  return {
    dropped: () => dropped,
    flush,
    write: (line) => {
      if (stream.writableLength + gathered.length > maximumWaitingBytes) {
        dropped += 1;
        unreported += 1;
        return;
      }
      if (unreported > 0) {
        gather(`time=${now().toISOString()} level=warn event=log-lines-dropped count=${unreported}`);
        unreported = 0;
      }
      gather(line);
    },
  };
}
