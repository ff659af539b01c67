/**
 * Room that accepted jobs take from a shared plan, against a plan that is made anew with them.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createRandom, type Random } from "../../shared/index.js";
import { reserveJob, forecastEnd, planRoom, type ForecastJob } from "../index.js";

const capacity = { cpuMillicores: 20_000, memoryMegabytes: 1_000, accelerators: 0 };
const horizonMilliseconds = 60_000;

function drawJob(random: Random, mostSteps: number): ForecastJob {
  const step = (after: number[]): ForecastJob["steps"][number] => ({
    waiting: random.integer(1, 9),
    running: [],
    needs: { cpuMillicores: 1_000, memoryMegabytes: 10, accelerators: 0 },
    runMilliseconds: 20 * random.integer(5, 60),
    after,
  });
  return { steps: random.integer(1, mostSteps) === 1 ? [step([])] : [step([]), step([0])] };
}

/** When a job ends beside eight others: half of them booked in a plan of the other half, and all in a new plan. */
function compareEnds(random: Random, mostSteps: number): { booked: number; planned: number } {
  const jobs = Array.from({ length: 8 }, () => drawJob(random, mostSteps));
  const first = planRoom(jobs.slice(0, 4), capacity, horizonMilliseconds);
  const booked = jobs.slice(4).reduce((plan, job) => reserveJob(plan, job, horizonMilliseconds, 0), first);
  const planned = planRoom(jobs, capacity, horizonMilliseconds);
  const asked = drawJob(random, mostSteps);
  return {
    booked: forecastEnd(booked, asked, horizonMilliseconds),
    planned: forecastEnd(planned, asked, horizonMilliseconds),
  };
}

const rounds = 300;

test("a job of one step ends beside booked jobs when it would beside the same jobs in a new plan", () => {
  const random = createRandom(7);
  for (let round = 0; round < rounds; round += 1) {
    const { booked, planned } = compareEnds(random, 1);
    expect(booked).toBe(planned);
  }
});

test("for jobs of two steps booking is right on the mean: it does not know that it delays others' later steps", () => {
  const random = createRandom(7);
  const ends = Array.from({ length: rounds }, () => compareEnds(random, 2));
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
  const ratio = sum(ends.map(({ booked }) => booked)) / sum(ends.map(({ planned }) => planned));
  expect(ratio).toBeGreaterThan(0.95);
  expect(ratio).toBeLessThan(1.05);
});

test("a job that is booked later takes its room from then on", () => {
  const wide: ForecastJob = {
    steps: [
      {
        waiting: 18,
        running: [],
        needs: { cpuMillicores: 1_000, memoryMegabytes: 0, accelerators: 0 },
        runMilliseconds: 1_000,
        after: [],
      },
    ],
  };
  const booked = reserveJob(planRoom([], capacity, horizonMilliseconds), wide, horizonMilliseconds, 100);
  expect(forecastEnd(booked, wide, horizonMilliseconds, 100)).toBe(2_000);
  expect(forecastEnd(booked, wide, horizonMilliseconds, 140)).toBe(1_960);
});
