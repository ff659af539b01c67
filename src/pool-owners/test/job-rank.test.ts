/**
 * Order in which started and new jobs get room.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createJob, openOccurrences, type Job, type TaskRun } from "../../jobs/index.js";
import { compareJobs, createTaskRunTimes } from "../../scheduling/index.js";
import { rankJob } from "../job-rank.js";
import { createStep, terms } from "./owner-fixture.js";

const state = { runTimes: createTaskRunTimes() };
const stepMilliseconds = 1_000;
/** A job is due 1.5 times its chain of two steps plus 500 ms after its submission. */
const queueTerms = { ...terms, slackFactor: 1.5, objectiveMilliseconds: 500 };

function createTwoSteps(jobId: string, acceptedAt: number): Job {
  const first = createStep({ estimateMilliseconds: stepMilliseconds });
  const definition = { spec: "", steps: [first, { ...first, after: [0] }] };
  const record = { jobId, terms: queueTerms, definition, acceptedAt: 0, requestedAt: 0 };
  const job = createJob(record, undefined, acceptedAt);
  openOccurrences(job, 1);
  return job;
}

function finishFirstStep(job: Job): void {
  job.hasStarted = true;
  for (const task of job.occurrences.get(0)?.steps[0] ?? []) task.succeeded = true;
}

function goesBefore(left: Job, right: Job, now: number): boolean {
  return compareJobs(rankJob(state, left, now), rankJob(state, right, now), now) < 0;
}

test("a job whose first step is done stays ahead of new jobs while it can still meet its objective", () => {
  const begun = createTwoSteps("begun", 0);
  finishFirstStep(begun);
  const newcomer = createTwoSteps("newcomer", 1_800);
  expect(goesBefore(begun, newcomer, 2_000)).toBe(true);
});

test("a job that can no longer meet its objective goes behind those that can", () => {
  const begun = createTwoSteps("begun", 0);
  finishFirstStep(begun);
  const newcomer = createTwoSteps("newcomer", 2_600);
  expect(goesBefore(begun, newcomer, 2_700)).toBe(false);
});

test("the elapsed time of running tasks reduces the remaining time of a job", () => {
  const begun = createTwoSteps("begun", 0);
  const newcomer = createTwoSteps("newcomer", 1_900);
  const now = 2_000;
  expect(goesBefore(begun, newcomer, now)).toBe(false);
  for (const task of begun.occurrences.get(0)?.steps[0] ?? []) task.runs.push(createRun(1_100));
  expect(goesBefore(begun, newcomer, now)).toBe(true);
});

function createRun(startedAt: number): TaskRun {
  return {
    targetId: "target",
    run: 1,
    startedAt,
    isWhole: true,
    status: "running",
    confirmedAt: startedAt,
    isListed: true,
    stopRequestedAt: undefined,
    stopConfirmedAt: undefined,
    percent: 0,
    progressedAt: startedAt,
    pacePercent: 100,
    usage: 0,
  };
}
