/**
 * What the kernel and an entry's own metrics tell of a process: processor time, wake-ups, calls of the store.
 * @packageDocumentation
 */
import { readdir, readFile } from "node:fs/promises";

/** Totals of one process since it began. */
export interface ProcessReading {
  /** Processor time of all threads, in milliseconds. */
  readonly processorMilliseconds: number;
  /** How often the main thread has waited and was woken. */
  readonly wakeUps: number;
  /** Counters of the process's metrics by series. */
  readonly counters: ReadonlyMap<string, number>;
}

const nanosecondsPerMillisecond = 1e6;
const switchesPattern = /^voluntary_ctxt_switches:\s*(\d+)/m;
const counterPattern = /^(\w+_total(?:\{.*\})?) (\S+)$/gm;

/**
 * Reads the totals of a process.
 * @param processId - the process
 * @param metricsPort - where it offers its metrics
 * @returns the totals so far
 */
export async function readProcess(processId: number, metricsPort: number): Promise<ProcessReading> {
  const tasks = `/proc/${processId}/task`;
  const threads = await readdir(tasks);
  const times = await Promise.all(threads.map(async (thread) => readTime(`${tasks}/${thread}/schedstat`)));
  const status = await readFile(`/proc/${processId}/status`, "utf8");
  return {
    processorMilliseconds: times.reduce((sum, time) => sum + time, 0),
    wakeUps: Number(switchesPattern.exec(status)?.[1] ?? 0),
    counters: await readCounters(metricsPort),
  };
}

async function readTime(path: string): Promise<number> {
  const text = await readFile(path, "utf8").catch(() => "0");
  return Number(text.split(" ")[0]) / nanosecondsPerMillisecond;
}

async function readCounters(port: number): Promise<ReadonlyMap<string, number>> {
  const answer = await fetch(`http://127.0.0.1:${port}/metrics`).catch(() => undefined);
  const text = (await answer?.text()) ?? "";
  return new Map([...text.matchAll(counterPattern)].map(([, series = "", value]) => [series, Number(value)]));
}
