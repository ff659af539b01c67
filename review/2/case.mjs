/**
 * The store carries out the write that accepts a job, and its answer is lost. The consumer leaves before its time limit
 * and cancels the job; the system answers 410. The job must not run after that.
 */
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath, URL } from "node:url";
import { bounds, newId, runCase, sleep, waitFor, World } from "../lib/platform.mjs";

const folder = fileURLToPath(new URL(".", import.meta.url));
/** The consumer leaves after this time, which `give_up` sets in the site files. */
const leavesAfterMilliseconds = 900;
const firstStepMilliseconds = 7000;
const pool = "dispecer";

async function play(withTrouble) {
  const world = new World(join(folder, "record.txt"), {
    pools: [
      { name: pool, workers: 4 },
      { name: "diverse", workers: 0, standby: true },
    ],
  });
  const { store, record, entries } = world;
  try {
    if (!(await world.start(3))) return 2;
    if (!(await waitFor(() => world.ownerOf(pool) !== undefined, 10_000))) return 2;
    await sleep(4000);
    const jobId = newId();
    let isLost = false;
    if (withTrouble) {
      store.onTransaction = (caller, { "set-keys": sets = [] }) => {
        if (isLost || !sets.some(({ key }) => key.endsWith(jobId))) return undefined;
        isLost = true;
        record.write(`store: the answer to the write of ${caller} that stores the job is lost`);
        return { drop: true };
      };
    }
    const owner = world.ownerOf(pool);
    const [first, second] = entries.filter((entry) => entry !== owner);
    record.write(`the pool's home is ${owner.name}`);
    const body = {
      spec: JSON.stringify({ ms: [firstStepMilliseconds, 1000] }),
      steps: [
        { count: 2, cpu: 2000, "mem-mb": 1024, "estimate-ms": firstStepMilliseconds },
        { count: 2, cpu: 2000, "mem-mb": 1024, "estimate-ms": 1000, after: [0] },
      ],
    };
    const handedIn = await world.consume(first, "POST", pool, jobId, {
      body,
      milliseconds: leavesAfterMilliseconds,
    });
    const cancelled = await world.consume(second, "DELETE", pool, jobId);
    const cancelledAt = record.now();
    if (withTrouble && (!isLost || handedIn.status !== 0)) return 2;
    const isAcknowledged = cancelled.status === 410 || Math.floor(cancelled.status / 100) === 2;
    if (!isAcknowledged) {
      record.write("the cancelling was not acknowledged");
      return 2;
    }
    await sleep(firstStepMilliseconds + 5000);
    await world.consume(second, "GET", pool, jobId);
    const limit = cancelledAt + bounds.cancel_ms;
    const late = world.runs.filter(
      ({ kind, task, at }) => kind === "run-start" && task.startsWith(jobId) && at > limit,
    );
    const lasted = world.runs.filter(
      ({ kind, task, at }) => kind === "run-end" && task.startsWith(jobId) && at > limit + bounds["stop-ms"],
    );
    record.write(
      `cancelled at ${cancelledAt} ms (${cancelled.status}); starts later than cancel_ms after it: ${late.length}; ` +
        `runs that went on past cancel_ms + stop-ms: ${lasted.length}`,
    );
    const isBroken = late.length > 0 || lasted.length > 0;
    record.write(isBroken ? "UNASKED is broken" : "UNASKED holds");
    return isBroken ? 1 : 0;
  } finally {
    world.close();
  }
}

process.exitCode = 2;
await runCase(play);
