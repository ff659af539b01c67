/**
 * Stand-in of the platform's machine interface: lists machines, moves them between pools and takes them down for upkeep, as
 * PROTOCOL.md says. Fences are not checked (`fencing-enforced` false).
 */
import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers";
import { answer, readJson, serve } from "./http.mjs";
import { startWorkers, Worker } from "./workers.mjs";

const migrateMs = 1_500;
const maintenanceMs = 2_000;

/** The machines, each with the worker that is its present life. */
export class Machines {
  #store;
  #record;
  #workerOptions;
  #waves;
  #lives = 0;
  machines = new Map();
  /** Each order as it arrived. */
  orders = [];
  /** Each upkeep that began. */
  upkeeps = [];
  /** May delay or withhold an answer: resolves to false when the answer is lost. */
  beforeAnswer = async () => true;
  /** May delay an order before it is carried out. */
  beforeOrder = async () => undefined;

  /**
   * @param waves - returns the machines of each requested wave, by its number
   * @param workerOptions - options of the workers, without `id`, `pool` and `labels`
   */
  constructor({ store, record, waves, workerOptions }) {
    this.#store = store;
    this.#record = record;
    this.#waves = waves;
    this.#workerOptions = workerOptions;
  }

  /** Adds a machine whose worker starts at once. */
  async add(machine, pool, zone, rack) {
    const found = { machine, pool, zone, labels: ["a", rack], state: "up" };
    this.machines.set(machine, found);
    await this.#startLife(found);
  }

  /** The workers that are up. */
  workers() {
    return [...this.machines.values()].flatMap(({ worker }) => worker ?? []);
  }

  /** The settings by which an entry finds the interface. */
  settings() {
    return {
      "cloud-api.address": this.address,
      "cloud-api.rate-per-s": 64,
      "cloud-api.duties": "",
      "cloud-api.duty-per-s": 64,
    };
  }

  async start() {
    const server = await serve(async (request, response, url) => this.#handle(request, response, url));
    this.address = server.address;
  }

  async #startLife(found) {
    this.#lives += 1;
    const { pool, zone, labels } = found;
    const id = `i-${String(this.#lives).padStart(4, "0")}`;
    found.worker = new Worker({ ...this.#workerOptions, id, pool, zone, labels });
    await startWorkers(this.#store, [found.worker]);
    found.state = "up";
  }

  async #handle(request, response, url) {
    if (url.pathname === "/machines") {
      answer(response, 200, { machines: [...this.machines.values()].map(describe), "next-token": null });
      return;
    }
    const order = {
      kind: url.pathname,
      holder: request.headers["duty-holder"],
      token: Number(request.headers["fencing-token"]),
      ...(await readJson(request)),
    };
    await this.beforeOrder(order);
    const [status, body] = this.#carryOut(order);
    order.at = performance.now();
    this.orders.push({ ...order, status });
    const isAnswered = await this.beforeAnswer({ ...order, status });
    const text = `${order.kind} ${order.machine} ${order.pool ?? `wave ${order.wave}`}`;
    this.#record.write(
      `${text} by ${order.holder} with ${order.token} -> ${status} ${body.reason ?? ""}${isAnswered ? "" : " (no answer)"}`,
    );
    if (isAnswered) answer(response, status, body);
    else response.destroy();
  }

  #carryOut({ kind, machine, pool, wave }) {
    const found = this.machines.get(machine);
    if (found === undefined) return [400, {}];
    if (kind === "/machine-move") {
      if (found.pool === pool && found.state === "up") return [200, {}];
      if (found.state !== "up") return [409, { reason: "busy" }];
      found.pool = pool;
      return this.#takeDown(found, "moving", migrateMs);
    }
    if (!(this.#waves().get(wave) ?? []).includes(machine)) return [409, { reason: "wave" }];
    if (this.upkeeps.some((each) => each.machine === machine && each.wave === wave)) return [200, {}];
    if (found.state !== "up") return [409, { reason: "busy" }];
    this.upkeeps.push({ machine, wave });
    return this.#takeDown(found, "upkeep", maintenanceMs);
  }

  #takeDown(found, state, durationMs) {
    found.worker.kill();
    this.#store.items.removeAll([`servers/${found.worker.id}`]);
    found.worker = undefined;
    found.state = state;
    setTimeout(() => void this.#startLife(found), durationMs);
    return [200, {}];
  }
}

/**
 * Starts the machine interface with machines of one pool, four a rack, and their workers `i-0001`, `i-0002` and so on.
 * @param options - `store`, `record`, `pool`, `count` and `workerOptions`; `waves`, if there are any
 */
export async function startPool({ store, record, pool, count, workerOptions, waves = () => new Map() }) {
  const machines = new Machines({ store, record, waves, workerOptions });
  await machines.start();
  for (let number = 1; number <= count; number += 1)
    await machines.add(`m-${number}`, pool, `zone-${(number % 3) + 1}`, `r-${Math.ceil(number / 4)}`);
  return machines;
}

function describe({ machine, pool, zone, labels, state, worker }) {
  const capacity = worker?.options.capacity ?? { cpu: 32_000, "mem-mb": 128_000, gpu: 0 };
  return { machine, pool, state, zone, labels, capacity, id: worker?.id };
}
