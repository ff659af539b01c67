/**
 * Tests of the state of jobs (order of steps, repetition, stored progress) and of the queue that a request belongs to.
 * @packageDocumentation
 */
import fc from "fast-check";
import { expect, test } from "vitest";
import {
  allTasks,
  countDue,
  createJob,
  decodeJobRecord,
  decodeProgressRecord,
  encodeProgress,
  findQueue,
  isStepReady,
  isWorkDone,
  noteSuccess,
  openOccurrences,
  readJobState,
  type Job,
  type JobRecord,
  type QueueTable,
  type StepDefinition,
} from "../index.js";

const step = (changes: Partial<StepDefinition> = {}): StepDefinition => ({
  taskCount: 2,
  resources: { cpuMillicores: 1, memoryMegabytes: 1, accelerators: 0 },
  estimateMilliseconds: 1,
  after: [],
  isCheckpointed: false,
  isGang: false,
  prefersOneRack: false,
  allowsCopies: false,
  isLasting: false,
  isFiller: false,
  ...changes,
});

const createRecord = (changes: Partial<JobRecord["definition"]>): JobRecord => ({
  jobId: "job",
  terms: {
    queue: "quotes",
    pool: "presses",
    priority: 0,
    attempts: 2,
    slackFactor: 1,
    objectiveMilliseconds: 1,
    needsAdvice: false,
  },
  definition: { spec: "", steps: [step()], ...changes },
  acceptedAt: 0,
  requestedAt: 0,
});

function openJob(record: JobRecord, due = 1): Job {
  const job = createJob(record, undefined, 0);
  openOccurrences(job, due);
  return job;
}

test("a step is ready when all tasks of the steps in its after list have succeeded", () => {
  const job = openJob(createRecord({ steps: [step(), step({ after: [0] })] }));
  const occurrence = job.occurrences.get(0);
  if (occurrence === undefined) throw new Error("the occurrence is due");
  const [first, second] = occurrence.steps[0] ?? [];
  expect(isStepReady(occurrence, 1)).toBe(false);
  if (first !== undefined) noteSuccess(first);
  expect(isStepReady(occurrence, 1)).toBe(false);
  if (second !== undefined) noteSuccess(second);
  expect(isStepReady(occurrence, 1)).toBe(true);
  expect(isWorkDone(job)).toBe(false);
  for (const task of occurrence.steps[1] ?? []) noteSuccess(task);
  expect(isWorkDone(job)).toBe(true);
});

test("the success of one member completes a gang, and long-running tasks never complete", () => {
  const gang = openJob(createRecord({ steps: [step({ isGang: true })] }));
  const [member] = allTasks(gang);
  expect(member === undefined ? 0 : noteSuccess(member).length).toBe(2);
  expect(isWorkDone(gang)).toBe(true);
  const longRunning = openJob(createRecord({ steps: [step({ isLasting: true })] }));
  for (const task of allTasks(longRunning)) noteSuccess(task);
  expect(isWorkDone(longRunning)).toBe(false);
});

test("occurrences become due one after the other, and a repeated job is done when the last has succeeded", () => {
  const repetition = { startAtMilliseconds: 1_000, intervalMilliseconds: 500, occurrences: 3 };
  const record = createRecord({ repetition });
  expect([999, 1_000, 1_499, 1_500, 9_000].map((now) => countDue(record, now))).toEqual([0, 1, 1, 2, 3]);
  const job = openJob(record, 2);
  for (const task of allTasks(job)) noteSuccess(task);
  expect(isWorkDone(job)).toBe(false);
  openOccurrences(job, 3);
  for (const task of allTasks(job)) noteSuccess(task);
  expect(isWorkDone(job)).toBe(true);
});

test("a job that is created from its stored progress has the same successes and failures", () => {
  fc.assert(
    fc.property(
      fc.array(fc.boolean(), { minLength: 6, maxLength: 6 }),
      fc.integer({ min: 0, max: 3 }),
      (done, failures) => {
        const record = createRecord({ steps: [step({ taskCount: 6 })] });
        const job = openJob(record);
        allTasks(job).forEach((task, index) => {
          if (done[index] === true) noteSuccess(task);
          else task.failures = failures;
        });
        const stored = decodeProgressRecord(JSON.parse(JSON.stringify(encodeProgress(job))));
        const restored = createJob(record, stored, 0, 1);
        openOccurrences(restored, 1, stored);
        expect(allTasks(restored).map((task) => [task.succeeded, task.failures])).toEqual(
          allTasks(job).map((task) => [task.succeeded, task.failures]),
        );
        expect(isWorkDone(restored)).toBe(isWorkDone(job));
        expect(readJobState(restored)).toBe(done.includes(true) || failures > 0 ? "active" : "queued");
      },
    ),
    { seed: 5, numRuns: 100 },
  );
});

test("records decode to equal values after storage, and invalid values decode to undefined", () => {
  const record = createRecord({});
  expect(decodeJobRecord(JSON.parse(JSON.stringify(record)))).toEqual(record);
  expect(decodeJobRecord({ jobId: "job" })).toBeUndefined();
  expect(decodeProgressRecord(null)).toBeUndefined();
});

test("a request belongs to the queue of its host with the longest matching path prefix", () => {
  const queue = (name: string, host: string, pathPrefix: string): QueueTable["queues"][number] => ({
    terms: { ...createRecord({}).terms, queue: name },
    host,
    pathPrefix,
    timeoutMilliseconds: 1,
  });
  const table: QueueTable = {
    version: 1,
    queues: [queue("short", "a", "/x/"), queue("long", "a", "/x/y/"), queue("other", "b", "/x/y/z/")],
    pools: [],
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
  };
  const find = (host: string, path: string): string | undefined => findQueue(table, host, path)?.terms.queue;
  expect(find("a", "/x/1")).toBe("short");
  expect(find("a", "/x/y/z/1")).toBe("long");
  expect(find("c", "/x/1")).toBeUndefined();
});
