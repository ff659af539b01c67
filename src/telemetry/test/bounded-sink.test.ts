/**
 * The log's sink beside a reader that stops reading.
 * @packageDocumentation
 */
import { Writable } from "node:stream";
import { beforeEach, expect, test } from "vitest";
import { createBoundedSink, type BoundedSink } from "../index.js";

const nextTurn = async (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** A stream whose reader stops at the first write until it resumes. */
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

test("a reader that stops reading costs lines, not memory or time, and is told how many", async () => {
  const line = "x".repeat(1_000);
  for (let count = 0; count < 1_000; count += 1) sink.write(line);
  expect(reader.writableLength).toBeLessThan(300_000);
  expect(sink.dropped()).toBeGreaterThan(600);
  await nextTurn();
  expect(reader.writableLength).toBeLessThan(300_000);
  reader.resume();
  await nextTurn();
  sink.write("after");
  await nextTurn();
  expect(reader.lines().at(-2)).toBe(
    `time=1970-01-01T00:00:00.000Z level=warn event=log-lines-dropped count=${sink.dropped()}`,
  );
  expect(reader.lines().at(-1)).toBe("after");
  // What was not left out has arrived.
  expect(reader.lines().filter((each) => each === line)).toHaveLength(1_000 - sink.dropped());
});

test("lines that wait for the end of their turn count towards the bound", async () => {
  sink.write("first");
  await nextTurn();
  const line = "x".repeat(1_000);
  for (let turn = 0; turn < 100; turn += 1) {
    for (let count = 0; count < 10; count += 1) sink.write(line);
    expect(reader.writableLength).toBeLessThan(263_200);
    await nextTurn();
  }
  expect(reader.writableLength).toBeLessThan(263_200);
  expect(sink.dropped()).toBeGreaterThan(730);
});

test("the lines of one turn are one write, in their order", async () => {
  reader.resume();
  sink.write("first");
  sink.write("second");
  expect(reader.written).toEqual([]);
  await nextTurn();
  sink.write("third");
  await nextTurn();
  expect(reader.written).toEqual(["first\nsecond\n", "third\n"]);
});

test("a long turn does not keep its lines to its end, and loses none to a reader that reads", async () => {
  reader.resume();
  const line = "x".repeat(1_000);
  for (let count = 0; count < 2_000; count += 1) sink.write(line);
  expect(reader.lines().length).toBeGreaterThan(1_900);
  await nextTurn();
  expect(reader.lines()).toHaveLength(2_000);
  expect(sink.dropped()).toBe(0);
});

test("what is flushed at the end of the process is written at once, and once", async () => {
  reader.resume();
  sink.write("last");
  sink.flush();
  expect(reader.lines()).toEqual(["last"]);
  await nextTurn();
  expect(reader.lines()).toEqual(["last"]);
});
