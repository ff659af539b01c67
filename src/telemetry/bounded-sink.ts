/**
 * Writes log lines to a stream without ever waiting for its reader.
 * @packageDocumentation
 */
import type { Writable } from "node:stream";

/** Bytes that wait for a slow reader; lines beyond are left out and counted. */
const maximumWaitingBytes = 262_144;

/** Takes finished lines. */
export interface BoundedSink {
  readonly write: (line: string) => void;
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
  // A reader that goes away must not end the process.
  stream.on("error", () => {
    dropped += 1;
  });
  return {
    dropped: () => dropped,
    write: (line) => {
      if (stream.writableLength > maximumWaitingBytes) {
        dropped += 1;
        unreported += 1;
        return;
      }
      if (unreported > 0) {
        stream.write(`time=${now().toISOString()} level=warn event=log-lines-dropped count=${unreported}\n`);
        unreported = 0;
      }
      stream.write(`${line}\n`);
    },
  };
}
