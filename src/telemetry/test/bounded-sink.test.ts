/**
 * The bounded log sink with readers that stop reading or keep up.
 * @packageDocumentation
 */
import { Writable } from "node:stream";
import { beforeEach, expect, test } from "vitest";
import { createBoundedSink, type BoundedSink } from "../index.js";

const waitForNextIteration = async (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** A stream whose reader does not complete the first write until `resume` is called. */
class SlowReader extends Writable {
  readonly written: string[] = [];
  #waiting: (() => void) | undefined;
  #isReading = false;

  constructor() {
    super({ decodeStrings: false });
  }

  override _write(chunk: string, _encoding: string, done: () => void): void {
    this.written.push(chunk);
    if (this.#isReading) done();
    else this.#waiting = done;
  }

  resume(): void {
    this.#isReading = true;
    this.#waiting?.();
  }

  lines(): string[] {
    return this.written.join("").split("\n").slice(0, -1);
  }
}

let reader: SlowReader;
let sink: BoundedSink;
beforeEach(() => {
  reader = new SlowReader();
  sink = createBoundedSink(reader, () => new Date(0));
});

test("lines beyond the buffer are dropped while the reader stalls, and their number is reported", async () => {
  const line = "x".repeat(1_000);
  for (let count = 0; count < 1_000; count += 1) sink.write(line);
  expect(reader.writableLength).toBeLessThan(300_000);
  expect(sink.dropped()).toBeGreaterThan(600);
  await waitForNextIteration();
  expect(reader.writableLength).toBeLessThan(300_000);
  reader.resume();
  await waitForNextIteration();
  sink.write("after");
  await waitForNextIteration();
  expect(reader.lines().at(-2)).toBe(
    `time=1970-01-01T00:00:00.000Z level=warn event=log-lines-dropped count=${sink.dropped()}`,
  );
  expect(reader.lines().at(-1)).toBe("after");
  // All lines that were not dropped have arrived.
  expect(reader.lines().filter((each) => each === line)).toHaveLength(1_000 - sink.dropped());
});

test("lines of the current batch count towards the buffer limit", async () => {
  sink.write("first");
  await waitForNextIteration();
  const line = "x".repeat(1_000);
  for (let iteration = 0; iteration < 100; iteration += 1) {
    for (let count = 0; count < 10; count += 1) sink.write(line);
    expect(reader.writableLength).toBeLessThan(263_200);
    await waitForNextIteration();
  }
  expect(reader.writableLength).toBeLessThan(263_200);
  expect(sink.dropped()).toBeGreaterThan(730);
});

test("lines of one event loop iteration are written at once, in order", async () => {
  reader.resume();
  sink.write("first");
  sink.write("second");
  expect(reader.written).toEqual([]);
  await waitForNextIteration();
  sink.write("third");
  await waitForNextIteration();
  expect(reader.written).toEqual(["first\nsecond\n", "third\n"]);
});

test("a full batch is written within the iteration, and no line is lost if the reader keeps up", async () => {
  reader.resume();
  const line = "x".repeat(1_000);
  for (let count = 0; count < 2_000; count += 1) sink.write(line);
  expect(reader.lines().length).toBeGreaterThan(1_900);
  await waitForNextIteration();
  expect(reader.lines()).toHaveLength(2_000);
  expect(sink.dropped()).toBe(0);
});

test("flush writes the batch immediately and only once", async () => {
  reader.resume();
  sink.write("last");
  sink.flush();
  expect(reader.lines()).toEqual(["last"]);
  await waitForNextIteration();
  expect(reader.lines()).toEqual(["last"]);
});
