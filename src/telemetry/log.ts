/**
 * Structured logging: one line of key=value pairs per event.
 * @packageDocumentation
 */
import { createConsola, type ConsolaReporter } from "consola/core";

/** Value of an event's field; undefined omits the field. */
export type LogValue = string | number | boolean | undefined;

/** Fields of an event by name, written in this order. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Severity of an event. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Structured logger. */
export interface Log {
  /**
   * Logs one event, unless its level is below the log's level.
   * @param level - severity of the event
   * @param event - stable name that operators can search for, such as `move-finished`
   * @param fields - fields of the event; they replace bound fields of the same name, and undefined ones are omitted
   */
  write(level: LogLevel, event: string, fields?: LogFields): void;
  /**
   * Creates a child log that adds fields to every event.
   * @param fields - bound fields; they replace those of this log that have the same name
   * @returns the child log, with the level and sink of this log
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
 * Creates a log without bound fields.
 * @param level - lowest severity that is written, or `silent` to write nothing
 * @param sink - receives each formatted line without a line break; writes to standard error by default
 * @returns the log
 */
export function createLog(
  level: LogLevel | "silent",
  sink: (line: string) => void = writeToStandardError,
): Log {
  const formatTime = createTimeFormatter();
  const reporter: ConsolaReporter = {
    log: ({ type, args, date }) => {
      const [event, pairs] = args as [string, string];
      sink(`time=${formatTime(date)} level=${type} event=${event}${pairs}`);
    },
  };
  const consola = createConsola({ level: levelNumbers[level], reporters: [reporter], throttle: 0 });
  const create = (base: LogFields): Log => {
    const basePairs = formatFields(base);
    return {
      write: (eventLevel, event, fields = {}) => {
        // Skip the cost of formatting an event that is not written.
        if (levelNumbers[eventLevel] > consola.level) return;
        const pairs = overridesField(base, fields)
          ? formatFields({ ...base, ...fields })
          : basePairs + formatFields(fields);
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

function overridesField(base: LogFields, fields: LogFields): boolean {
  for (const name in fields) if (Object.hasOwn(base, name)) return true;
  return false;
}

/** Formats the fields, each preceded by a space. */
function formatFields(fields: LogFields): string {
  let text = "";
  for (const name in fields) {
    const value = fields[name];
    if (value !== undefined) text += ` ${name}=${formatValue(value)}`;
  }
  return text;
}

function formatValue(value: string | number | boolean): string {
  if (typeof value !== "string") return String(value);
  return value === "" || needsQuotes.test(value) ? JSON.stringify(value) : value;
}

/** Creates a formatter that caches the last timestamp, because many lines are written in the same millisecond. */
function createTimeFormatter(): (date: Date) => string {
  let cachedMilliseconds = Number.NaN;
  let text = "";
  return (date) => {
    const milliseconds = date.getTime();
    if (milliseconds !== cachedMilliseconds) {
      cachedMilliseconds = milliseconds;
      text = date.toISOString();
    }
    return text;
  };
}
