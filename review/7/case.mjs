/**
 * LOST: more subtasks that last wait for a place than the workers hold on which their queue's policy allows them. The owner
 * keeps the other workers of the pool free for them, where they may never run, and accepted jobs of another queue starve
 * beside idle workers.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { startAdvice, ticketOf } from "../lib-2/advice.mjs";
import { Entries, manifest, newId, pause, runCase } from "../lib-2/entries.mjs";
import { startPool } from "../lib-2/machines.mjs";
import { startStore } from "../lib-2/store.mjs";

const workerIds = ["i-0001", "i-0002", "i-0003", "i-0004", "i-0005", "i-0006"];
/** The workers that the policy of the first queue allows; four subtasks fill one worker. */
const allowedIds = ["i-0001", "i-0002"];
const adviceTerms = { "decide-ms": 40, "period-ms": 2, "valid-ms": 3_000 };
const capacity = { cpu: 8_000, "mem-mb": 32_000, gpu: 0 };
const needs = { cpu: 2_000, "mem-mb": 1_000, gpu: 0 };
const shortJobs = 3;
const finishMs = 14_000;
const idleMs = 3_000;

function describeWorkers(record, events) {
  return {
    capacity,
    guards: true,
    stopMs: 300,
    holdMaxMs: 6_000,
    workMs: (_task, spec) => (spec === "lasting" ? Infinity : 640),
    needs: () => needs,
    needsTicket: (task, worker) =>
      task.startsWith("a") ? ticketOf(task.replace(/\.[0-9]+$/, ""), worker.id) : undefined,
    log: (event) => {
      record.write(JSON.stringify(event));
      events.push(event);
    },
  };
}

function createManifest() {
  const lasting = { name: "q-1", prefix: "/one/", service: "pool-1", advice: adviceTerms };
  const short = { name: "q-2", prefix: "/two/", service: "pool-1" };
  return manifest([lasting, short], [{ name: "pool-1" }]);
}

/** Submits a job and throws when it is not accepted. */
async function submit(entries, path, body) {
  const { status } = await entries.insist("POST", path, body);
  if (status !== 200) throw new Error("a job was not accepted");
}

/** Submits the jobs that last: 12 and 4 subtasks, of which the two allowed workers hold 8. */
async function submitLasting(entries) {
  const step = { ...needs, "estimate-ms": 900, "long-running": true };
  for (const count of [12, 4]) {
    await submit(entries, `/one/a${newId().slice(1)}`, { spec: "lasting", steps: [{ ...step, count }] });
    await pause(1_400);
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, isTroubled) => {
  const store = await startStore();
  store.items.putJson("op/config", createManifest());
  const allowed = new Set(isTroubled ? allowedIds : workerIds);
  record.write(`the policy allows ${[...allowed].join(", ")}`);
  const terms = { decideMs: 40, periodMs: 2, validMs: 3_000 };
  const advice = await startAdvice(terms, (_step, id) => allowed.has(id), record);
  const events = [];
  const workerOptions = describeWorkers(record, events);
  const count = workerIds.length;
  const machines = await startPool({ store, record, pool: "pool-1", count, workerOptions });
  const addresses = { "platform.address": store.address, advice: advice.address, ...machines.settings() };
  const entries = new Entries(addresses, record);
  await entries.start(["edge-1", "edge-2", "edge-3"]);
  await pause(2_000);
  await submitLasting(entries);
  await pause(3_000);
  const ids = Array.from({ length: shortJobs }, () => `b${newId().slice(1)}`);
  const step = { ...needs, count: 2, "estimate-ms": 640 };
  for (const id of ids) await submit(entries, `/two/${id}`, { spec: "short", steps: [step] });
  for (let waited = 0; waited < finishMs + idleMs; waited += 2_000) {
    await pause(2_000);
    for (const [index, id] of ids.entries()) await entries.call(entries.list[index], "GET", `/two/${id}`);
  }
  entries.close();
  const idle = ids.filter((id) => !events.some(({ kind, task }) => kind === "start" && task.startsWith(id)));
  const busy = new Set(events.filter(({ kind }) => kind === "start").map(({ worker }) => worker));
  return idle.length === 0
    ? undefined
    : `of ${shortJobs} accepted jobs ${idle.length} were never started in ${(finishMs + idleMs) / 1_000} s; workers in use: ${[...busy].join(", ")} of ${workerIds.length}`;
});
