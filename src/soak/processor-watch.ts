/**
 * Records when the soak's processes get too little processor time. The checks treat such a span like a fault, because
 * time limits can't be judged in it.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { readClock } from "./clock.js";
import type { FaultRecord } from "./history.js";

/** A process to watch. */
export interface WatchedProcess {
  readonly name: string;
  /** Undefined while the process doesn't run. */
  readonly processId: number | undefined;
}

/** The fault name under which a shortage of processor time is recorded. */
export const processorShortage = "processor-short";
const windowMilliseconds = 500;
/** A process that waits for a processor for more than half of a window gets less than half a processor. */
const longestWaitShare = 0.5;
const nanosecondsPerMillisecond = 1e6;

/**
 * Checks the processes in each window until it is stopped.
 * @param processes - returns the processes to check in the next window
 * @param faults - receives a record for each span in which a process was short of processor time
 * @returns a function that stops the checks
 */
export function watchProcessors(
  processes: () => readonly WatchedProcess[],
  faults: FaultRecord[],
): () => void {
  const waitTimes = new Map<number, number>();
  const openRecords = new Map<string, FaultRecord>();
  let last = readClock();
  const checkProcess = async (
    { name, processId }: WatchedProcess,
    from: number,
    at: number,
  ): Promise<void> => {
    if (processId === undefined) return;
    const total = await readWaitTime(processId);
    const share = total === undefined ? 0 : (total - (waitTimes.get(processId) ?? total)) / (at - from);
    if (total !== undefined) waitTimes.set(processId, total);
    const record = openRecords.get(name);
    if (share < longestWaitShare) openRecords.delete(name);
    else if (record !== undefined) record.to = at;
    else {
      const fresh = { name: processorShortage, subject: name, from, to: at, isPlanned: false };
      openRecords.set(name, fresh);
      faults.push(fresh);
    }
  };
  const timer = setInterval(() => {
    const from = last;
    last = readClock();
    for (const each of processes()) void checkProcess(each, from, last);
  }, windowMilliseconds);
  return () => {
    clearInterval(timer);
  };
}

/** Reads how long the main thread of a process was runnable without running, in milliseconds; undefined after its exit. */
async function readWaitTime(processId: number): Promise<number | undefined> {
  // Fields: nanoseconds on a processor, nanoseconds waiting for one, number of time slices.
  const text = await readFile(`/proc/${processId}/schedstat`, "utf8").catch(() => undefined);
  const nanoseconds = text?.split(" ")[1];
  return nanoseconds === undefined ? undefined : Number(nanoseconds) / nanosecondsPerMillisecond;
}
