/**
 * The log's sink beside a reader that stops reading.
 * @packageDocumentation
 */
import { Writable } from "node:stream";
import { expect, test } from "vitest";
import { createBoundedSink } from "../index.js";

test("a reader that stops reading costs lines, not memory or time, and is told how many", () => {
  const written: string[] = [];
  let resume: (() => void) | undefined;
  const slow = new Writable({
    decodeStrings: false,
    write: (chunk: string, _encoding, done) => {
      written.push(chunk);
      if (resume === undefined) resume = done;
      else done();
    },
  });
  const sink = createBoundedSink(slow, () => new Date(0));
  const line = "x".repeat(1_000);
  for (let count = 0; count < 1_000; count += 1) sink.write(line);
  expect(slow.writableLength).toBeLessThan(300_000);
  expect(sink.dropped()).toBeGreaterThan(600);
  resume?.();
  return new Promise<void>((resolve) => {
    setImmediate(() => {
      sink.write("after");
      setImmediate(() => {
        expect(written.at(-2)).toContain(`count=${sink.dropped()}`);
        expect(written.at(-1)).toBe("after\n");
        resolve();
      });
    });
  });
});
