/**
 * A machine freezes and wakes again. A consumer has handed in a job there, has left without an answer and has cancelled
 * the job at another machine. The job must not run after that.
 */
import { join } from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers";
import { fileURLToPath, URL } from "node:url";
import { bounds, newId, runCase, sleep, waitFor, World } from "../lib/platform.mjs";

const folder = fileURLToPath(new URL(".", import.meta.url));
/** The length of `node_freeze` in the site file. */
const frozenMilliseconds = 3500;
/** The consumer leaves after this time, which `give_up` sets in the site file. */
const leavesAfterMilliseconds = 900;
const firstStepMilliseconds = 7000;
const pool = "dispecer";

/** Counts what was started, and what ran on, after the cancelling should have taken effect. */
function countLate({ runs, record }, jobId, cancelledAt) {
  const own = runs.filter(({ task }) => task.startsWith(jobId));
  const limit = cancelledAt + bounds.cancel_ms;
  const started = own.filter(({ kind, at }) => kind === "run-start" && at > limit).length;
  const ended = own.filter(({ kind, at }) => kind === "run-end" && at > limit + bounds["stop-ms"]).length;
  record.write(
    `starts later than cancel_ms after the cancelling: ${started}; runs that went on past cancel_ms + stop-ms: ${ended}`,
  );
  return started + ended;
}

async function play(withTrouble) {
  const world = new World(join(folder, "record.txt"), {
    pools: [
      { name: pool, workers: 4 },
      { name: "diverse", workers: 0, standby: true },
    ],
  });
  const { record, entries } = world;
  try {
    if (!(await world.start(7))) return 2;
    if (!(await waitFor(() => world.ownerOf(pool) !== undefined, 10_000))) return 2;
    await sleep(4000);
    const owner = world.ownerOf(pool);
    const [first, second] = entries.filter((entry) => entry !== owner);
    record.write(`the pool's home is ${owner.name}`);
    if (withTrouble) {
      first.signal("SIGSTOP");
      setTimeout(() => first.signal("SIGCONT"), frozenMilliseconds);
      await sleep(100);
    }
    const jobId = newId();
    const body = {
      spec: JSON.stringify({ ms: [firstStepMilliseconds, 1000] }),
      steps: [
        { count: 2, cpu: 2000, "mem-mb": 1024, "estimate-ms": firstStepMilliseconds },
        { count: 2, cpu: 2000, "mem-mb": 1024, "estimate-ms": 1000, after: [0] },
      ],
    };
    const options = { body, milliseconds: leavesAfterMilliseconds };
    const handedIn = await world.consume(first, "POST", pool, jobId, options);
    if (withTrouble && handedIn.status !== 0) return 2;
    const cancelled = await world.consume(second, "DELETE", pool, jobId);
    const cancelledAt = record.now();
    if (cancelled.status !== 410 && Math.floor(cancelled.status / 100) !== 2) return 2;
    await sleep(firstStepMilliseconds + frozenMilliseconds + 3000);
    await world.consume(second, "GET", pool, jobId);
    const late = countLate(world, jobId, cancelledAt);
    record.write(late > 0 ? "UNASKED is broken" : "UNASKED holds");
    return late > 0 ? 1 : 0;
  } finally {
    world.close();
  }
}

process.exitCode = 2;
await runCase(play);
