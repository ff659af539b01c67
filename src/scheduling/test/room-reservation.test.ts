/**
 * Compares reserving accepted jobs in an existing plan with making a new plan that includes them.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createRandom, type Random } from "../../shared/index.js";
import { reserveJob, forecastEnd, planRoom, type ForecastJob } from "../index.js";

const capacity = { cpuMillicores: 20_000, memoryMegabytes: 1_000, accelerators: 0 };
const horizonMilliseconds = 60_000;

function drawJob(random: Random, maximumSteps: number): ForecastJob {
  const step = (after: number[]): ForecastJob["steps"][number] => ({
    waiting: random.integer(1, 9),
    running: [],
    needs: { cpuMillicores: 1_000, memoryMegabytes: 10, accelerators: 0 },
    runMilliseconds: 20 * random.integer(5, 60),
    after,
  });
  return { steps: random.integer(1, maximumSteps) === 1 ? [step([])] : [step([]), step([0])] };
}

/**
 * Forecasts the end of a job beside eight others: with four of them reserved in a plan of the other four, and with a new
 * plan of all eight.
 */
function compareEnds(random: Random, maximumSteps: number): { reserved: number; planned: number } {
  const jobs = Array.from({ length: 8 }, () => drawJob(random, maximumSteps));
  const first = planRoom(jobs.slice(0, 4), capacity, horizonMilliseconds);
  const reserved = jobs.slice(4).reduce((plan, job) => reserveJob(plan, job, horizonMilliseconds, 0), first);
  const planned = planRoom(jobs, capacity, horizonMilliseconds);
  const candidate = drawJob(random, maximumSteps);
  return {
    reserved: forecastEnd(reserved, candidate, horizonMilliseconds),
    planned: forecastEnd(planned, candidate, horizonMilliseconds),
  };
}

const rounds = 300;

test("for jobs of one step, reserved jobs give the same forecast as a new plan", () => {
  const random = createRandom(7);
  for (let round = 0; round < rounds; round += 1) {
    const { reserved, planned } = compareEnds(random, 1);
    expect(reserved).toBe(planned);
  }
});

test("for jobs of two steps, reserved jobs give the same mean forecast, though they ignore delays of others' later steps", () => {
  const random = createRandom(7);
  const ends = Array.from({ length: rounds }, () => compareEnds(random, 2));
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
  const ratio = sum(ends.map(({ reserved }) => reserved)) / sum(ends.map(({ planned }) => planned));
  expect(ratio).toBeGreaterThan(0.95);
  expect(ratio).toBeLessThan(1.05);
});

test("a job that is reserved in an older plan uses room from the time of its reservation", () => {
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
  const reserved = reserveJob(planRoom([], capacity, horizonMilliseconds), wide, horizonMilliseconds, 100);
  expect(forecastEnd(reserved, wide, horizonMilliseconds, 100)).toBe(2_000);
  expect(forecastEnd(reserved, wide, horizonMilliseconds, 140)).toBe(1_960);
});
