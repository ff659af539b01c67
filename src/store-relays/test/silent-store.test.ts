/**
 * The owner of a pool, whose own way to the store is gone for longer than its lease lasts.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createStep, startHomeFixture, submission, waitFor } from "../../job-homes/test/home-fixture.js";
import { delay } from "../../shared/index.js";
import type { TaskBehaviour } from "../../stand-ins/index.js";
import { createFixture } from "./relay-fixture.js";

const jobs = 30;
const behaviour = (): TaskBehaviour => ({
  needs: { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 },
  runMilliseconds: 50,
  isLasting: false,
  fails: false,
});
const pauseMilliseconds = 100;

test("a home that the store turns away for three leases keeps its pool and accepts every job", async () => {
  const homes = startHomeFixture({ targetCount: 4, coresPerTarget: 8, behaviour });
  const relays = createFixture(homes.engine);
  relays.start("far", []);
  const owner = homes.startEntry("owner", (store) => relays.start("owner", ["far"], store).store);
  const home = await homes.home(owner);
  owner.faults.mode = "refusing";
  const outcomes: string[] = [];
  for (let job = 0; job < jobs; job += 1) {
    const jobId = String(job).padStart(16, "0");
    outcomes.push((await home.submit(submission(jobId, createStep()))).kind);
    await delay(pauseMilliseconds);
  }
  expect(outcomes).toEqual(Array.from({ length: jobs }, () => "accepted"));
  expect(owner.lines.filter((line) => line.includes("home-lost"))).toEqual([]);
  const last = String(jobs - 1).padStart(16, "0");
  await waitFor(() => {
    const state = home.readState(last);
    return state.kind === "state" && state.state === "complete";
  });
  homes.close();
});
