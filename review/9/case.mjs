/**
 * LOST: one malformed submission, a job that repeats very often and whose only step has no subtasks, is accepted, stored and
 * expanded in memory. The owner of the pool runs out of memory, and so does each entry that takes the pool after it: no
 * other job of the pool is known to anybody any more.
 */
import { setTimeout } from "node:timers";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Entries, manifest, newId, pause, runCase } from "../lib-2/entries.mjs";
import { startPool } from "../lib-2/machines.mjs";
import { startStore } from "../lib-2/store.mjs";

const occurrences = 100_000_000;
const intervalMs = 1_000;
const recoverMs = 12_000;
const finishMs = 14_000;
const restartDelayMs = 500;
/** Fault: so many ends by itself, on two entries at least. */
const endsOfItsOwn = 3;

function describeWorkers(record) {
  return {
    capacity: { cpu: 32_000, "mem-mb": 128_000, gpu: 0 },
    guards: true,
    stopMs: 300,
    holdMaxMs: 6_000,
    workMs: () => 640,
    needs: () => ({ cpu: 1_000, "mem-mb": 1_000, gpu: 0 }),
    log: (event) => {
      record.write(JSON.stringify(event));
    },
  };
}

/** Starts an entry again each time that it has ended, as the platform does; counts the ends. */
function keepRunning(entries) {
  const ends = new Map(entries.list.map(({ name }) => [name, 0]));
  let isOver = false;
  const watch = (entry) => {
    entry.process.once("exit", () => {
      if (isOver) return;
      ends.set(entry.name, ends.get(entry.name) + 1);
      setTimeout(() => {
        if (isOver) return;
        entries.run(entry);
        watch(entry);
      }, restartDelayMs);
    });
  };
  for (const entry of entries.list) watch(entry);
  const stop = () => {
    isOver = true;
  };
  return { ends, stop };
}

/** Asks for a job's state until an entry tells it, for as long as the jobs are asked for. */
async function askForState(entries, id) {
  const until = Date.now() + finishMs;
  for (let turn = 0; Date.now() < until; turn += 1) {
    const { status, body } = await entries.call(entries.list[turn % 3], "GET", `/one/${id}`);
    if (status === 200) return body;
    await pause(300);
  }
  return undefined;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, isTroubled) => {
  const store = await startStore();
  const route = { name: "q-1", prefix: "/one/", service: "pool-1" };
  store.items.putJson("op/config", manifest([route], [{ name: "pool-1" }]));
  const workerOptions = describeWorkers(record);
  const machines = await startPool({ store, record, pool: "pool-1", count: 4, workerOptions });
  const entries = new Entries({ "platform.address": store.address, ...machines.settings() }, record);
  await entries.start(["edge-1", "edge-2", "edge-3"]);
  const { ends, stop } = keepRunning(entries);
  await pause(2_000);
  const id = newId();
  const step = { count: 6, cpu: 1_000, "mem-mb": 1_000, "estimate-ms": 640 };
  const accepted = await entries.insist("POST", `/one/${id}`, { spec: "s", steps: [step] });
  if (accepted.status !== 200) throw new Error("the job was not accepted");
  await pause(3_000);
  const repeated = { spec: "s", steps: [{ cpu: 500, "estimate-ms": 100 }], "interval-ms": intervalMs };
  if (isTroubled)
    await entries.call(entries.list[0], "POST", `/one/${newId()}`, { ...repeated, times: occurrences });
  else await entries.insist("POST", `/one/${newId()}`, { ...repeated, times: 100 });
  await pause(recoverMs);
  const state = await askForState(entries, id);
  const counts = [...ends].map(([name, count]) => `${name} ${count}`).join(", ");
  record.write(`ends by themselves: ${counts}`);
  stop();
  entries.close();
  const failing = [...ends.values()].filter((count) => count >= endsOfItsOwn).length;
  if (state !== undefined && failing < 2) return undefined;
  const known = state === undefined ? "is not known to any entry" : `is shown as ${state}`;
  return `the accepted job ${id}, which had run, ${known}; entries ended by themselves (${counts})`;
});
