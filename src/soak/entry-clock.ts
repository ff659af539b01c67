/**
 * Clocks of entries that differ from the real time. The program is unchanged: a small program that changes the wall clock of its
 * process, as a step of the machine's clock would, loads it.
 * @packageDocumentation
 */
import { writeFile } from "node:fs/promises";
import { join } from "node:path";

const readMilliseconds = 20;

/** The wall clock of one entry. */
export class EntryClock {
  readonly entryId: string;
  readonly #folder: string;

  /**
   * Creates a clock that shows the real time.
   * @param folder - the folder of its files
   * @param entryId - the entry
   */
  constructor(folder: string, entryId: string) {
    this.#folder = folder;
    this.entryId = entryId;
  }

  get #offsetPath(): string {
    return join(this.#folder, `${this.entryId}.clock`);
  }

  /**
   * Writes a program that follows this clock and otherwise does what the given one does.
   * @param program - path of a CommonJS bundle
   * @returns path of the file to run
   */
  async wrap(program: string): Promise<string> {
    const path = join(this.#folder, `${this.entryId}-clock.cjs`);
    await this.move(0);
    await writeFile(path, createWrapper(this.#offsetPath, program));
    return path;
  }

  /** Sets the difference from the real time, in milliseconds. */
  async move(offsetMilliseconds: number): Promise<void> {
    await writeFile(this.#offsetPath, String(offsetMilliseconds));
  }
}

function createWrapper(offsetPath: string, program: string): string {
  return `"use strict";
const { readFileSync } = require("node:fs");
const RealDate = Date;
let offset = 0;
const readOffset = () => {
  const text = readFileSync(${JSON.stringify(offsetPath)}, "utf8");
  if (text !== "") offset = Number(text);
};
readOffset();
setInterval(readOffset, ${readMilliseconds}).unref();
const now = () => RealDate.now() + offset;
globalThis.Date = class extends RealDate {
  constructor(...fields) {
    if (fields.length === 0) super(now());
    else super(...fields);
  }
  static now() {
    return now();
  }
};
require(${JSON.stringify(program)});
`;
}
