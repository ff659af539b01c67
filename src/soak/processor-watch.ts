/**
 * Watches whether this machine gives the soak's processes their processor time; while it does not, nothing is calm.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { readClock } from "./clock.js";
import type { FaultRecord } from "./history.js";

/** A process to watch. */
export interface WatchedProcess {
  readonly name: string;
  /** Undefined while it does not run. */
  readonly processId: number | undefined;
}

/** The name under which a lack of processor time is recorded among the faults. */
export const processorShortage = "processor-short";
const windowMilliseconds = 500;
/** A process that waits for longer than it could run has less than half a processor. */
const longestWaitShare = 0.5;
const nanosecondsPerMillisecond = 1e6;

/**
 * Watches processes until it is stopped.
 * @param processes - reads which processes to watch
 * @param faults - where spans are recorded in which one of them is short of processor time
 * @returns stops the watch
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

/** Reads for how many milliseconds the main thread of a process was ready and did not run. */
async function readWaitTime(processId: number): Promise<number | undefined> {
  // The kernel gives: time on a processor, time waiting for one, and number of turns.
  const text = await readFile(`/proc/${processId}/schedstat`, "utf8").catch(() => undefined);
  const nanoseconds = text?.split(" ")[1];
  return nanoseconds === undefined ? undefined : Number(nanoseconds) / nanosecondsPerMillisecond;
}
