/**
 * Structured logs: one line of key=value pairs for each event.
 * @packageDocumentation
 */
import { createConsola, type ConsolaReporter, type LogType } from "consola";

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
  const reporter: ConsolaReporter = {
    log: ({ type, args, date }) => {
      const [event, fields] = args as [string, LogFields];
      sink(formatLine(date, type, event, fields));
    },
  };
  const consola = createConsola({ level: levelNumbers[level], reporters: [reporter], throttle: 0 });
  const create = (base: LogFields): Log => ({
    write: (eventLevel, event, fields = {}) => {
      consola[eventLevel](event, { ...base, ...fields });
    },
    with: (fields) => create({ ...base, ...fields }),
  });
  return create({});
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}

function formatLine(date: Date, level: LogType, event: string, fields: LogFields): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return [`time=${date.toISOString()}`, `level=${level}`, `event=${event}`, ...pairs].join(" ");
}

function formatValue(value: LogValue): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
