/**
 * A start gets no answer and is carried out late, by the next life of its worker, which is cut off just then. Case 11 plays it
 * with a short subtask, cases 12 and 13 with one that lasts: with one owner, and with a hand-over.
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import { Deployment, Record, call, jobIdentifier, sleep, until } from "./platform.mjs";

const headers = { host: "office.example", "deadline-ms": "3000" };
const capacity = { cpu: 64_000, "mem-mb": 262_144, gpu: 0 };
/** `hold-max-ms` of the site. */
const holdMaximumMilliseconds = 10_000;
/** The worker is cut off for this long from its return on; the bench: `srv_cut`, 5 s. */
const cutMilliseconds = 5_000;
/** After this time without a sign of it, the store removes the entry of a worker: three heartbeat intervals. */
const entryLapseMilliseconds = 4_500;

/** A subtask that lasts, of the site's `ledger-watch`, and a short one of its `invoice-run`, both of usual or greatest size. */
export const lastingTask = {
  work: { long: true, cpu: 5_200 },
  step: { count: 1, cpu: 5_200, "mem-mb": 35_000, "estimate-ms": 900, "long-running": true },
};
export const shortTask = {
  work: { ms: 5_200, cpu: 9_900 },
  step: { count: 1, cpu: 9_900, "mem-mb": 28_000, "estimate-ms": 5_200 },
};

/**
 * Plays the case and ends the process with its result.
 * @param path - the file of the record
 * @param options - the subtask; how long the worker is out, and how long after it came the start is carried out, in milliseconds;
 * whether the owner gets SIGTERM as the worker goes out; and how old the workers are by then, in milliseconds
 */
export async function playLateStart(
  path,
  { task, outageMilliseconds, lateMilliseconds, isHandedOver, ageMilliseconds },
) {
  const hasTrouble = process.env.TROUBLE !== "0";
  const record = new Record(path);
  const deployment = new Deployment();
  const isUp = await deployment.start({
    entries: 3,
    settings: { "bounds.hold-max-ms": String(holdMaximumMilliseconds) },
    workers: Array.from({ length: 4 }, (_, index) => ({
      id: `i-a${index + 1}`,
      service: "svc-a",
      capacity,
      holdMaximumMilliseconds,
    })),
    routes: [{ name: "r-watch", prefix: "/watch/", service: "svc-a" }],
    services: [{ name: "svc-a" }],
  });
  if (!isUp) record.end(2, "the deployment did not start");
  await sleep(ageMilliseconds);
  const owner = deployment.owner("svc-a");

  let isTaken = false;
  deployment.world.onCall = (worker, url, body) => {
    if (!hasTrouble || isTaken || url !== "/run-start") return undefined;
    isTaken = true;
    void disturb(worker, body);
    return "no answer";
  };

  async function disturb(worker, start) {
    const { id } = worker.options;
    record.note(`start of ${start.task} run ${start.run} comes to ${id}, which crashes; no answer`);
    worker.crash();
    if (isHandedOver) {
      owner.signal("SIGTERM");
      record.note(`SIGTERM to ${owner.name}, the owner of the pool`);
    }
    const lapse = sleep(entryLapseMilliseconds).then(() => {
      if (worker.isSilent) deployment.store.remove(`servers/${id}`);
    });
    const goneAt = performance.now();
    const sleepUntil = (milliseconds) => sleep(goneAt + milliseconds - performance.now());
    await sleepUntil(outageMilliseconds);
    worker.restart();
    record.note(`${id} is back in a new life, and cut off from the entries and the store`);
    await sleepUntil(lateMilliseconds);
    worker.carryOutLate(start);
    record.note(`${id} carries the start out late`);
    await sleepUntil(outageMilliseconds + cutMilliseconds);
    await lapse;
    worker.hear();
    record.note(`${id} is reached again`);
  }

  const id = jobIdentifier(1);
  const gateway = deployment.entries.find((entry) => entry !== owner);
  const { status } = await call(gateway.front, "POST", `/watch/${id}`, headers, {
    spec: JSON.stringify(task.work),
    steps: [task.step],
  });
  record.note(`POST /watch/${id} at ${gateway.name}: ${status}`);
  if (status !== 200) record.end(2, "the job was not accepted");
  const { runs } = deployment.world;
  const isStarted = await until(() => runs.length > 0, 15_000);
  if (!isStarted) record.end(2, "the subtask did not begin");
  const begunAt = performance.now();
  await sleep(12_000);
  const states = await call(gateway.front, "GET", `/watch/${id}`, headers);
  record.note(`GET /watch/${id}: ${states.body?.state}`);

  tellRuns(record, runs, begunAt);
  const pairs = findPairs(runs);
  deployment.close();
  record.end(
    pairs.length > 0 ? 1 : 0,
    pairs.length > 0 ? "a subtask ran on two workers at once" : "no subtask ran twice at once",
  );
}

function tellRuns(record, runs, begunAt) {
  for (const run of runs) {
    const end =
      run.endedAt === undefined ? "at work" : `${run.how} at ${Math.round(run.endedAt - begunAt)} ms`;
    record.note(
      `${run.task} run ${run.run} on ${run.worker}: from ${Math.round(run.startedAt - begunAt)} ms, ${end}`,
    );
  }
}

/** Finds the pairs of runs of one subtask that were at work at the same time. */
function findPairs(runs) {
  return runs.flatMap((first, index) =>
    runs.slice(index + 1).filter(({ task, startedAt }) => {
      return task === first.task && (first.endedAt === undefined || first.endedAt > startedAt);
    }),
  );
}
