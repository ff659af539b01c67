/**
 * An owner whose direct path to the store is lost for longer than its lease. Without relayed calls it would lose the
 * lease and the pool.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createStep, startOwnerFixture, submission, waitFor } from "../../pool-owners/test/owner-fixture.js";
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

test("an owner without a direct path for three lease durations keeps its pool and accepts every job", async () => {
  const owners = startOwnerFixture({ targetCount: 4, coresPerTarget: 8, behaviour });
  const relays = createFixture(owners.engine);
  relays.start("far", []);
  const entry = owners.startEntry("owner", (store) => relays.start("owner", ["far"], store).store);
  const owner = await owners.owner(entry);
  entry.faults.mode = "refusing";
  const outcomes: string[] = [];
  for (let job = 0; job < jobs; job += 1) {
    const jobId = String(job).padStart(16, "0");
    outcomes.push((await owner.submit(submission(jobId, createStep()))).kind);
    await delay(pauseMilliseconds);
  }
  expect(outcomes).toEqual(Array.from({ length: jobs }, () => "accepted"));
  expect(entry.lines.filter((line) => line.includes("home-lost"))).toEqual([]);
  const last = String(jobs - 1).padStart(16, "0");
  await waitFor(() => {
    const state = owner.readState(last);
    return state.kind === "state" && state.state === "complete";
  });
  owners.close();
});
