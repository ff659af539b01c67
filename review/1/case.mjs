/**
 * During a rolling restart, the store answers one write of a process not at all and carries it out two seconds later, as
 * the pages allow. The process holds a pool from then on, but the others don't find it any more: they answer each request
 * for the pool's accepted jobs with 503, for good.
 */
import { join } from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers";
import { fileURLToPath, URL } from "node:url";
import { bounds, newId, runCase, sleep, waitFor, World } from "../lib/platform.mjs";

const folder = fileURLToPath(new URL(".", import.meta.url));
/** Time from the return of a process to the next SIGTERM (`gap_s` of the rolling restarts in the site files). */
const gapMilliseconds = 2500;
const lateMilliseconds = 2000;
const entryCount = 3;
const pools = ["dispecer", "judet", "sofer"];

/** Leaves the first member record of a chosen process without an answer, and writes it later. */
function delayMemberRecord({ store, record }) {
  const late = { process: undefined, isDone: false };
  store.onTransaction = (caller, body) => {
    const { "set-keys": sets = [] } = body;
    const isMemberRecord = sets.some(({ key }) => key === `members/entries/${caller}`);
    if (late.process !== caller || late.isDone || !isMemberRecord) return undefined;
    late.isDone = true;
    record.write(
      `store: a write of ${caller} gets no answer and is carried out ${lateMilliseconds} ms later`,
    );
    setTimeout(() => {
      const status = store.applyLate(body);
      record.write(`store: the late write of ${caller} is carried out: ${status}`);
    }, lateMilliseconds);
    return { silent: true };
  };
  return late;
}

async function handInJobs(world) {
  const jobs = [];
  for (const pool of pools) {
    const jobId = newId();
    const body = {
      spec: JSON.stringify({ ms: [1500] }),
      steps: [{ count: 2, cpu: 2000, "mem-mb": 1024, "estimate-ms": 1500 }],
    };
    const answer = await world.consume(world.entries[0], "POST", pool, jobId, { body });
    if (answer.status !== 200) return undefined;
    jobs.push({ pool, jobId });
  }
  return jobs;
}

/** A planned restart, as the platform makes it. */
async function restart(entry) {
  entry.signal("SIGTERM");
  await waitFor(() => !entry.isRunning(), bounds["grace-s"] * 1000);
  entry.end();
  await sleep(100);
  entry.start();
}

/**
 * Asks for all jobs on the channels to each process, until `finish_s` is over.
 * @returns how many pairs of process and job got no state in all that time
 */
async function askForJobs(world, jobs) {
  const { entries, record } = world;
  const until = record.now() + bounds.finish_s * 1000;
  const known = new Set();
  while (record.now() < until) {
    for (const entry of entries) {
      for (const { pool, jobId } of jobs) {
        const answer = await world.consume(entry, "GET", pool, jobId);
        if (answer.status === 200) known.add(`${entry.name} ${jobId}`);
      }
    }
    await sleep(2000);
  }
  let unanswered = 0;
  for (const entry of entries) {
    for (const { pool, jobId } of jobs) {
      if (known.has(`${entry.name} ${jobId}`)) continue;
      unanswered += 1;
      record.write(`${entry.name} never gave the state of the accepted job ${jobId} (${pool})`);
    }
  }
  return unanswered;
}

async function play(withTrouble) {
  const world = new World(join(folder, "record.txt"), {
    pools: [...pools.map((name) => ({ name, workers: 3 })), { name: "diverse", workers: 1, standby: true }],
  });
  const { store, record, entries } = world;
  const late = delayMemberRecord(world);
  const owners = () => pools.map((pool) => `${pool}: ${world.ownerOf(pool)?.name ?? "none"}`).join(", ");
  try {
    if (!(await world.start(entryCount))) return 2;
    if (!(await waitFor(() => pools.every((pool) => world.ownerOf(pool) !== undefined), 10_000))) return 2;
    await sleep(3000);
    const jobs = await handInJobs(world);
    if (jobs === undefined) return 2;
    await sleep(3000);
    record.write(`homes: ${owners()}`);
    // The process that holds most pools is stopped second, so that its pools change hands.
    const held = ({ name }) => pools.filter((pool) => world.ownerOf(pool)?.name === name).length;
    const [second, first, third] = [...entries].sort((left, right) => held(right) - held(left));
    if (withTrouble) late.process = first.name;
    for (const entry of [first, second, third]) {
      await restart(entry);
      await sleep(gapMilliseconds);
    }
    record.write("the rolling restart is over");
    await sleep(bounds["contact-ms"] + 1000);
    record.write(`homes: ${owners()}; members: ${store.keys("members/entries/").join(", ")}`);
    if (withTrouble && !late.isDone) return 2;
    const unanswered = await askForJobs(world, jobs);
    record.write(unanswered > 0 ? "LOST is broken" : "LOST holds");
    return unanswered > 0 ? 1 : 0;
  } finally {
    world.close();
  }
}

process.exitCode = 2;
await runCase(play);
