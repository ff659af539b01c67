/**
 * Stand-in of the workers: each has an address, a lease for its runs, a list of ends and a fence number, as PROTOCOL.md says.
 */
import { performance } from "node:perf_hooks";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";
import { answer, readJson, serve } from "./http.mjs";

const heartbeatMs = 1_500;
const sweepMs = 10;
/** Startup of a subtask that lasts. */
const startupMs = 500;

/** One life of a machine of a pool. */
export class Worker {
  born = Date.now();
  state = "ready";
  fence = 0;
  ends = [];
  runs = new Map();
  #startedAt = performance.now();
  #lastEnd = 0;
  #highestRun = new Map();
  #leaseUntil = 0;
  #waiting = new Set();
  #seq = 0;

  /**
   * @param options - `id`, `pool`, `zone`, `labels`, `capacity`; `guards` (whether it rejects what does not fit),
   * `stopMs`, `holdMaxMs`, `needs(task, spec)`, `workMs(task, spec)`; `needsTicket(task)` returns the valid ticket, undefined when none is needed;
   * `log(event)` receives each start and end
   */
  constructor(options) {
    this.options = options;
    this.id = options.id;
  }

  clock() {
    return Math.floor(performance.now() - this.#startedAt + 1_000);
  }

  entry() {
    const { pool, zone, labels, capacity } = this.options;
    this.#seq += 1;
    return {
      service: pool,
      address: this.address,
      zone,
      version: "1",
      slots: 8,
      state: this.state,
      "cold-left-ms": 0,
      seq: this.#seq,
      capacity,
      labels,
      born: this.born,
    };
  }

  /** What the runs use, those being stopped included. */
  used() {
    const total = { cpu: 0, "mem-mb": 0, gpu: 0 };
    for (const { needs } of this.runs.values())
      for (const name of Object.keys(total)) total[name] += needs[name];
    return total;
  }

  sweep() {
    const now = performance.now();
    for (const run of [...this.runs.values()]) {
      if (run.stopsAt !== undefined && now >= run.stopsAt) this.#end(run, "stopped");
      else if (now >= this.#leaseUntil) this.#end(run, "lapsed");
      else if (run.stopsAt === undefined && now >= run.doneAt) this.#end(run, "done");
    }
  }

  /** A run ends through its own fault. */
  fail(task) {
    const run = this.runs.get(task);
    if (run !== undefined) this.#end(run, "failed");
  }

  /** Everything that runs ends without a trace: the machine goes down. */
  kill() {
    for (const run of this.runs.values()) this.options.log({ kind: "killed", ...describe(run) });
    this.runs.clear();
    this.isGone = true;
    this.server.close();
  }

  async handle(request, response, url) {
    const body = (await readJson(request)) ?? {};
    const reply = (status, extra = {}) => {
      answer(response, status, { "clock-ms": this.clock(), born: this.born, ...extra });
    };
    if (request.headers["expect-instance"] !== this.id) return reply(421);
    const token = body["fencing-token"] ?? 0;
    if (token < this.fence) return reply(409, { reason: "fence" });
    this.fence = token;
    if (url.pathname === "/run-start") return this.#start(body, reply);
    if (url.pathname === "/run-stop") return this.#stop(body, reply);
    if (url.pathname === "/hold") return this.#hold(body, reply, response);
    return reply(url.pathname === "/pace" ? 200 : 404);
  }

  #start({ task, run, spec, "until-ms": until, ticket }, reply) {
    const { options } = this;
    const present = this.runs.get(task);
    if (until <= this.clock()) return reply(409, { reason: "late" });
    if (present?.run === run) return reply(200);
    this.#extend(until);
    if (run <= (this.#highestRun.get(task) ?? 0) || present !== undefined)
      return reply(409, { reason: "old" });
    const needed = options.needsTicket?.(task, this);
    if (needed !== undefined && ticket !== needed) return reply(409, { reason: "ticket" });
    const needs = options.needs(task, spec);
    const used = this.used();
    const isOver = Object.keys(used).some((name) => used[name] + needs[name] > options.capacity[name]);
    if (isOver && options.guards) return reply(409, { reason: "room" });
    const started = { task, run, needs, startedAt: performance.now(), worker: this.id };
    started.doneAt = started.startedAt + options.workMs(task, spec);
    this.runs.set(task, started);
    options.log({ kind: "start", ...describe(started), spec, isOver, used, capacity: options.capacity });
    return reply(200);
  }

  #stop({ task, run }, reply) {
    const present = this.runs.get(task);
    if (present !== undefined && present.run <= run) {
      if (present.stopsAt === undefined) this.options.log({ kind: "stop-order", ...describe(present) });
      present.stopsAt ??= performance.now() + this.options.stopMs;
    }
    this.#highestRun.set(task, Math.max(run, this.#highestRun.get(task) ?? 0));
    return reply(200);
  }

  #hold({ "ack-cursor": acknowledged = 0, "until-ms": until, "wait-ms": waitMs = 0 }, reply, response) {
    if (until !== undefined) this.#extend(until);
    this.ends = this.ends.filter(([number]) => number > acknowledged);
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(finish);
      reply(200, { running: [...this.runs.values()].map(list), finished: this.ends.slice(0, 500) });
    };
    const timer = setTimeout(finish, this.ends.length > 0 ? 0 : waitMs);
    this.#waiting.add(finish);
    response.on("close", () => {
      clearTimeout(timer);
      this.#waiting.delete(finish);
    });
  }

  #extend(until) {
    const left = Math.min(until - this.clock(), this.options.holdMaxMs);
    this.#leaseUntil = Math.max(this.#leaseUntil, performance.now() + left);
  }

  #end(run, how) {
    this.runs.delete(run.task);
    this.#highestRun.set(run.task, Math.max(run.run, this.#highestRun.get(run.task) ?? 0));
    this.#lastEnd += 1;
    this.ends.push([this.#lastEnd, run.task, run.run, how, ""]);
    this.options.log({ kind: how, ...describe(run) });
    for (const finish of [...this.#waiting]) finish();
  }
}

function describe({ worker, task, run }) {
  return { worker, task, run };
}

/** Percent of the work; a subtask that lasts is at work (100) after its startup. */
export function percentOf({ startedAt, doneAt }) {
  const total = Number.isFinite(doneAt) ? doneAt - startedAt : startupMs;
  return Math.min(100, Math.floor(((performance.now() - startedAt) / total) * 100));
}

/** A row of `running`; a run that is being stopped is listed until it has ended. */
function list(run) {
  return [run.task, run.run, "", percentOf(run), run.needs.cpu];
}

/** Starts workers and keeps their entries in the store. */
export async function startWorkers(store, all) {
  for (const worker of all) {
    worker.server = await serve(async (request, response, url) => worker.handle(request, response, url));
    worker.address = worker.server.address;
  }
  const beat = () => {
    for (const worker of all) if (!worker.isGone) store.items.putJson(`servers/${worker.id}`, worker.entry());
  };
  beat();
  const timers = [
    setInterval(beat, heartbeatMs),
    setInterval(() => {
      for (const worker of all) worker.sweep();
    }, sweepMs),
  ];
  return {
    close: () => {
      for (const timer of timers) clearInterval(timer);
      for (const worker of all) worker.server.close();
    },
  };
}
