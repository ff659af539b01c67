/**
 * LOST: a queue's policy allows only workers that lie behind the first thirty of an idle pool. The owner asks for advice on
 * the same thirty again and again, and an accepted job never starts.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { startAdvice, ticketOf } from "../lib-2/advice.mjs";
import { Entries, manifest, newId, pause, runCase } from "../lib-2/entries.mjs";
import { startPool } from "../lib-2/machines.mjs";
import { startStore } from "../lib-2/store.mjs";

const workerCount = 36;
const allowedCount = 4;
const finishMs = 14_000;
/** For this long nothing of the job may be idle with room for it. */
const idleMs = 3_000;
const adviceTerms = { "decide-ms": 40, "period-ms": 2, "valid-ms": 3_000 };
const nameOf = (number) => `i-${String(number).padStart(4, "0")}`;

function describeWorkers(record, events) {
  return {
    capacity: { cpu: 32_000, "mem-mb": 128_000, gpu: 0 },
    guards: true,
    stopMs: 300,
    holdMaxMs: 6_000,
    workMs: () => 640,
    needs: () => ({ cpu: 1_800, "mem-mb": 1_000, gpu: 0 }),
    needsTicket: (task, { id }) => ticketOf(task.replace(/\.[0-9]+$/, ""), id),
    log: (event) => {
      record.write(JSON.stringify(event));
      events.push(event);
    },
  };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, isTroubled) => {
  const store = await startStore();
  const route = { name: "q-1", prefix: "/one/", service: "pool-1", advice: adviceTerms };
  store.items.putJson("op/config", manifest([route], [{ name: "pool-1" }]));
  const firstAllowed = isTroubled ? workerCount - allowedCount + 1 : 1;
  const allowed = new Set(Array.from({ length: allowedCount }, (_, index) => nameOf(firstAllowed + index)));
  record.write(`the policy allows ${[...allowed].join(", ")}`);
  const terms = { decideMs: 40, periodMs: 2, validMs: 3_000 };
  const advice = await startAdvice(terms, (_step, id) => allowed.has(id), record);
  const events = [];
  const workerOptions = describeWorkers(record, events);
  const machines = await startPool({ store, record, pool: "pool-1", count: workerCount, workerOptions });
  const addresses = { "platform.address": store.address, advice: advice.address, ...machines.settings() };
  const entries = new Entries(addresses, record);
  await entries.start(["edge-1", "edge-2", "edge-3"]);
  await pause(3_000);
  const id = newId();
  const step = { count: 6, cpu: 1_800, "mem-mb": 1_000, "estimate-ms": 640 };
  const accepted = await entries.insist("POST", `/one/${id}`, { spec: "s", steps: [step] });
  if (accepted.status !== 200) throw new Error("the job was not accepted");
  for (let waited = 0; waited < finishMs + idleMs; waited += 1_000) {
    await pause(1_000);
    await entries.call(entries.list[(waited / 1_000) % 3], "GET", `/one/${id}`);
  }
  entries.close();
  const starts = events.filter(({ kind, task }) => kind === "start" && task.startsWith(id)).length;
  return starts > 0
    ? undefined
    : `no subtask of the accepted job ${id} was started in ${(finishMs + idleMs) / 1_000} s, with ${allowedCount} idle workers that may run it`;
});
