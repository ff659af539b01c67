/**
 * Reads processor time and wake-ups of an entry's process from the kernel, and counters from its metrics endpoint.
 * @packageDocumentation
 */
import { readdir, readFile } from "node:fs/promises";

/** Totals of one process since its start. */
export interface ProcessReading {
  /** Processor time of all threads, in milliseconds. */
  readonly processorMilliseconds: number;
  /** Voluntary context switches of the main thread. */
  readonly wakeUps: number;
  /** Counters of the process's metrics, by series. */
  readonly counters: ReadonlyMap<string, number>;
}

const nanosecondsPerMillisecond = 1e6;
const switchesPattern = /^voluntary_ctxt_switches:\s*(\d+)/m;
const counterPattern = /^(\w+_total(?:\{.*\})?) (\S+)$/gm;

/**
 * Reads the totals of a process.
 * @param processId - a process that runs; the reading fails if it has exited
 * @param metricsPort - the loopback port of its metrics; counters are empty if the port doesn't respond
 * @returns the totals since the start of the process
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
