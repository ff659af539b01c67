/**
 * Bounds the log lines of an event that clients can cause as often as they like.
 * @packageDocumentation
 */
import type { LogFields } from "./log.js";

const paceMilliseconds = 1_000;

/** Fields of a paced event: those of its last occurrence, and how many occurrences the line stands for. */
export type PacedFields = LogFields & { readonly count: number };

/**
 * Creates a function that reports occurrences with at most one line a second. The first one is written at once, those of the
 * next second together at its end.
 * @param write - writes one line
 * @returns reports one occurrence
 */
export function createPacedEvents(write: (fields: PacedFields) => void): (fields: LogFields) => void {
  let count = 0;
  let last: LogFields = {};
  let timer: NodeJS.Timeout | undefined;
  const flush = (): void => {
    timer = undefined;
    if (count === 0) return;
    write({ ...last, count });
    count = 0;
    last = {};
    timer = setTimeout(flush, paceMilliseconds).unref();
  };
  return (fields) => {
    count += 1;
    last = fields;
    if (timer === undefined) flush();
  };
}
