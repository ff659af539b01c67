/**
 * Structured logs: one line of key=value pairs for each event.
 * @packageDocumentation
 */
import { createConsola, type ConsolaReporter } from "consola/core";

/** What a field of an event may hold. */
export type LogValue = string | number | boolean | undefined;

/** The fields of an event. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** How grave an event is. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Writes events. */
export interface Log {
  /**
   * Writes one event.
   * @param level - how grave it is
   * @param event - its stable name, such as `move-finished`
   * @param fields - its fields; undefined ones are left out
   */
  write(level: LogLevel, event: string, fields?: LogFields): void;
  /**
   * Creates a log that adds fields to every event.
   * @param fields - the added fields
   * @returns the new log
   */
  with(fields: LogFields): Log;
}

const levelNumbers: Readonly<Record<LogLevel | "silent", number>> = {
  silent: -999,
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

const needsQuotes = /[\s"=]/;

/**
 * Creates a log.
 * @param level - the lowest level that is written, or `silent`
 * @param sink - takes the finished lines; standard error by default
 * @returns the log
 */
export function createLog(
  level: LogLevel | "silent",
  sink: (line: string) => void = writeToStandardError,
): Log {
  const describeTime = createTimeText();
  const reporter: ConsolaReporter = {
    log: ({ type, args, date }) => {
      const [event, pairs] = args as [string, string];
      sink(`time=${describeTime(date)} level=${type} event=${event}${pairs}`);
    },
  };
  const consola = createConsola({ level: levelNumbers[level], reporters: [reporter], throttle: 0 });
  const create = (base: LogFields): Log => {
    const basePairs = describeFields(base);
    return {
      write: (eventLevel, event, fields = {}) => {
        // What is not written is not put into words either.
        if (levelNumbers[eventLevel] > consola.level) return;
        const pairs = isOverridden(base, fields)
          ? describeFields({ ...base, ...fields })
          : basePairs + describeFields(fields);
        consola[eventLevel](event, pairs);
      },
      with: (fields) => create({ ...base, ...fields }),
    };
  };
  return create({});
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}

function isOverridden(base: LogFields, fields: LogFields): boolean {
  for (const name in fields) if (Object.hasOwn(base, name)) return true;
  return false;
}

/** Writes each field with a space before it. */
function describeFields(fields: LogFields): string {
  let text = "";
  for (const name in fields) {
    const value = fields[name];
    if (value !== undefined) text += ` ${name}=${describeValue(value)}`;
  }
  return text;
}

function describeValue(value: string | number | boolean): string {
  if (typeof value !== "string") return String(value);
  return value === "" || needsQuotes.test(value) ? JSON.stringify(value) : value;
}

/** Lines of one millisecond share the text of their time. */
function createTimeText(): (date: Date) => string {
  let at = Number.NaN;
  let text = "";
  return (date) => {
    const milliseconds = date.getTime();
    if (milliseconds !== at) {
      at = milliseconds;
      text = date.toISOString();
    }
    return text;
  };
}
