/**
 * Processor time and heap of a piece of work in this process.
 * @packageDocumentation
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const warmUpMicroseconds = 400_000;

/**
 * Lets everything run that waits in the event loop.
 * @returns when one round of the loop has passed
 */
export async function nextRound(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Measures the processor time of repeated work, after a warm-up that is not counted.
 * @param repeats - how often the work is done
 * @param work - the work
 * @returns microseconds of processor time, user and system, for each repeat
 */
export async function measureProcessorTime(
  repeats: number,
  work: (repeat: number) => void | Promise<void>,
): Promise<number> {
  const startedAt = process.cpuUsage();
  let warmUps = 0;
  while (sumOf(process.cpuUsage(startedAt)) < warmUpMicroseconds) {
    await work(warmUps);
    warmUps += 1;
  }
  const before = process.cpuUsage();
  for (let repeat = warmUps; repeat < warmUps + repeats; repeat += 1) await work(repeat);
  return sumOf(process.cpuUsage(before)) / repeats;
}

/**
 * Measures the heap that a value holds.
 * @param create - creates the value
 * @returns the value and the bytes by which the heap grew
 */
export async function measureHeap<Value>(
  create: () => Value | Promise<Value>,
): Promise<{ value: Value; bytes: number }> {
  const before = readHeap();
  const value = await create();
  await nextRound();
  return { value, bytes: readHeap() - before };
}

function sumOf({ user, system }: NodeJS.CpuUsage): number {
  return user + system;
}

function readHeap(): number {
  collectGarbage();
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
