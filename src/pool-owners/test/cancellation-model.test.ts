/**
 * Random interleavings of submissions, some of them late, cancellations, lost answers of the store, slow answers and crashed
 * owners: nothing of a job starts after its cancellation was acknowledged.
 * @packageDocumentation
 */
import fc from "fast-check";
import { expect, test } from "vitest";
import type { PoolOwner } from "../pool-owner.js";
import {
  createStep,
  pool,
  startOwnerFixture,
  submission,
  type OwnerFixture,
  type TestEntry,
} from "./owner-fixture.js";

const seeds = [1, 2, 20_261_205];
const runs = 10;
const stepsPerRun = 20;
const jobIds = ["first", "second", "third", "fourth"];
/** A start that was ordered before the acknowledgement may be carried out within this time. */
const orderMilliseconds = 50;
const settleMilliseconds = 1_500;
const oneCore = { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 };

/** Callers of one pool and the entry that owns it. */
class Simulation {
  readonly fixture: OwnerFixture;
  /** When the first cancellation of a job was acknowledged, by the monotonic clock. */
  readonly #acknowledgedAt = new Map<string, number>();
  #entry: TestEntry;
  #entries = 1;

  constructor() {
    const behaviour = () => ({ needs: oneCore, runMilliseconds: 80, isLasting: false, fails: false });
    this.fixture = startOwnerFixture({ targetCount: 3, coresPerTarget: 4, behaviour });
    this.#entry = this.fixture.startEntry("entry-1");
  }

  get faults(): TestEntry["faults"] {
    return this.#entry.faults;
  }

  submit(jobId: string): void {
    void this.#owner()?.submit(submission(jobId, createStep(), createStep({ after: [0] })));
  }

  cancel(jobId: string): void {
    void this.#owner()
      ?.cancel(jobId)
      .then(({ kind }) => {
        // All others are answers to the caller that its job does not run, for jobs of this pool.
        if (kind !== "unknown" && !this.#acknowledgedAt.has(jobId))
          this.#acknowledgedAt.set(jobId, performance.now());
      });
  }

  replaceEntry(): void {
    this.#entry.crash();
    this.#entries += 1;
    this.#entry = this.fixture.startEntry(`entry-${this.#entries}`);
  }

  /** The runs that started after the cancellation of their job was acknowledged. */
  findViolations(): string[] {
    return this.fixture.fleet.world.history.flatMap(({ task, from }) => {
      const acknowledgedAt = this.#acknowledgedAt.get(task.split(".")[0] ?? "") ?? Infinity;
      const late = Math.round(from - acknowledgedAt);
      return late > orderMilliseconds ? [`${task} started ${late} ms after the acknowledgement`] : [];
    });
  }

  acknowledged(): number {
    return this.#acknowledgedAt.size;
  }

  #owner(): PoolOwner | undefined {
    return this.#entry.ownershipManager.owner(pool);
  }
}

interface Step {
  readonly name: string;
  act(simulation: Simulation): void;
}

const jobId = fc.constantFrom(...jobIds);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: jobId.map(submitStep) },
  { weight: 2, arbitrary: fc.tuple(jobId, fc.constantFrom(100, 500, 1_500)).map(lateSubmitStep) },
  { weight: 4, arbitrary: jobId.map(cancelStep) },
  { weight: 2, arbitrary: fc.constant<Step>({ name: "lose an answer", act: loseAnswer }) },
  { weight: 2, arbitrary: fc.constantFrom(0, 0, 20, 120).map(slowStoreStep) },
  { weight: 1, arbitrary: fc.constant<Step>({ name: "replace the entry", act: replaceEntry }) },
);

function submitStep(job: string): Step {
  return {
    name: `submit ${job}`,
    act: (simulation) => {
      simulation.submit(job);
    },
  };
}

/** A submission that a paused process or a broken network holds up. */
function lateSubmitStep([job, milliseconds]: readonly [string, number]): Step {
  return {
    name: `submit ${job} ${milliseconds} ms late`,
    act: (simulation) => {
      setTimeout(() => {
        simulation.submit(job);
      }, milliseconds);
    },
  };
}

function cancelStep(job: string): Step {
  return {
    name: `cancel ${job}`,
    act: (simulation) => {
      simulation.cancel(job);
    },
  };
}

function slowStoreStep(milliseconds: number): Step {
  return {
    name: `answers of the store take ${milliseconds} ms`,
    act: ({ faults }) => {
      faults.delayMilliseconds = milliseconds;
    },
  };
}

function loseAnswer({ faults }: Simulation): void {
  faults.loseAnswers = 1;
}

function replaceEntry(simulation: Simulation): void {
  simulation.replaceEntry();
}

async function pass(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

interface RunResult {
  /** The violations and the steps that led to them; empty when there are none. */
  readonly violations: readonly string[];
  readonly acknowledged: number;
}

async function runSteps(
  steps: readonly { readonly step: Step; readonly pause: number }[],
): Promise<RunResult> {
  const simulation = new Simulation();
  try {
    for (const { step, pause } of steps) {
      step.act(simulation);
      await pass(pause);
    }
    simulation.faults.delayMilliseconds = 0;
    await pass(settleMilliseconds);
    const found = simulation.findViolations();
    const names = steps.map(({ step, pause }) => `${step.name}, ${pause}`);
    return {
      violations: found.length > 0 ? [...found, ...names] : [],
      acknowledged: simulation.acknowledged(),
    };
  } finally {
    simulation.fixture.close();
  }
}

test("nothing of a job starts after its cancellation was acknowledged, whatever is lost, late or replaced", async () => {
  const pause = fc.constantFrom(0, 0, 5, 20, 100, 400);
  const steps = fc.array(fc.record({ step: stepArbitrary, pause }), {
    minLength: stepsPerRun,
    maxLength: stepsPerRun,
  });
  const chosen = process.env.CANCELLATION_MODEL_SEED?.split(",").map(Number) ?? seeds;
  const samples = chosen.flatMap((seed) => fc.sample(steps, { seed, numRuns: runs }));
  const results = await Promise.all(samples.map(runSteps));
  expect(results.flatMap(({ violations }) => violations)).toEqual([]);
  const acknowledged = results.reduce((sum, result) => sum + result.acknowledged, 0);
  expect(acknowledged).toBeGreaterThan(samples.length);
}, 60_000);
