/**
 * Small stand-ins of the users' platform for the cases of the review: store, workers, machine interface and the
 * processes of the system. All of them listen on the loopback interface and use the real clock.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync, appendFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";
import { URL } from "node:url";

const host = "127.0.0.1";

/** The bounds of a small deployment (dh-iarna). */
export const bounds = {
  "contact-ms": 3000,
  "ack-ms": 4000,
  "drain-ms": 2000,
  "grace-s": 6,
  "config-apply-ms": 2000,
  "hold-max-ms": 10000,
  "stop-ms": 200,
  "gang-ms": 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  "notice-ms": 4500,
  "migrate-s": 1.5,
  "maintenance-s": 2,
  "fencing-enforced": false,
  "lease-ms": 3000,
};
const heartbeatMilliseconds = 1500;

export const sleep = (milliseconds) =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

/** Waits until a condition holds; returns false after the timeout. */
export async function waitFor(condition, milliseconds, step = 10) {
  const until = performance.now() + milliseconds;
  while (!(await condition())) {
    if (performance.now() > until) return false;
    await sleep(step);
  }
  return true;
}

/** The record of what was sent, answered and run. */
export class Record {
  #path;
  #startedAt = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, "");
  }

  now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  write(text) {
    appendFileSync(this.#path, `${String(this.now()).padStart(7)} ms  ${text}\n`);
  }
}

function readBody(request) {
  return new Promise((resolve) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => resolve(undefined));
    request.on("end", () => {
      const text = Buffer.concat(chunks).toString("utf8");
      try {
        resolve(text === "" ? {} : JSON.parse(text));
      } catch {
        resolve(undefined);
      }
    });
  });
}

function send(response, status, body) {
  if (response.destroyed || response.writableEnded) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

async function serve(handler, port = 0) {
  const server = http.createServer((request, response) => {
    response.on("error", () => undefined);
    void handler(request, response);
  });
  server.keepAliveTimeout = 65_000;
  server.on("clientError", (_error, socket) => socket.destroy());
  await new Promise((resolve) => server.listen(port, host, resolve));
  return server;
}

const silent = Symbol("no answer");

/** The platform's store. Each process of the system has an address of its own, so that its calls can be told apart. */
export class Store {
  #records = new Map();
  #history = [];
  #leases = new Map();
  #watchers = new Set();
  #servers = [];
  #revision = 100;
  #nextLease = 1;
  /** Called with each transaction before it is applied; `{drop: true}` applies it and never answers. */
  onTransaction = () => undefined;
  /** Called with each call: return "silent", or a status, to treat the caller so. */
  onCall = () => undefined;
  answerMilliseconds = 4;

  async listenFor(caller) {
    const server = await serve((request, response) => this.#handle(caller, request, response));
    this.#servers.push(server);
    return server.address().port;
  }

  close() {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
  }

  get(key) {
    const item = this.#records.get(key);
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
  }

  keys(prefix) {
    return [...this.#records.keys()].filter((key) => key.startsWith(prefix));
  }

  /** Writes a record as the operator or a worker. */
  put(key, value) {
    this.#apply([{ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 }], []);
  }

  remove(key) {
    if (this.#records.has(key)) this.#apply([], [key]);
  }

  #apply(sets, removals) {
    this.#revision += 1;
    const revision = this.#revision;
    for (const { key, value, lease = 0 } of sets) {
      const created = this.#records.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease };
      this.#records.set(key, item);
      this.#history.push(item);
    }
    for (const key of removals) {
      if (!this.#records.delete(key)) continue;
      this.#history.push({ key, revision, deleted: true });
    }
    for (const watcher of [...this.#watchers]) watcher();
    return revision;
  }

  async #handle(caller, request, response) {
    const url = new URL(request.url, "http://store");
    const body = await readBody(request);
    const verdict = this.onCall(caller, request.method, url.pathname, body);
    if (verdict === "silent") return;
    await sleep(this.answerMilliseconds);
    if (typeof verdict === "number") {
      send(response, verdict, {});
      return;
    }
    const answer = await this.#answer(caller, request, url, body, response);
    if (answer !== silent) send(response, answer[0], answer[1]);
  }

  async #answer(caller, request, url, body, response) {
    const query = url.searchParams;
    const [, call, id] = url.pathname.split("/");
    if (call === "kv-key") {
      const item = this.#records.get(query.get("key"));
      if (item === undefined) return [404, { "current-rev": this.#revision }];
      return [200, { ...item, "current-rev": this.#revision }];
    }
    if (call === "kv-range") {
      const prefix = query.get("prefix") ?? "";
      const after = query.get("after") ?? "";
      const found = [...this.#records.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      return [
        200,
        { items: found.slice(0, 500), "more-pages": found.length > 500, "current-rev": this.#revision },
      ];
    }
    if (call === "kv-watch") return this.#watch(query, response);
    if (call === "kv-txn") return this.#transact(caller, body);
    if (call === "kv-lease") return this.#grant(body);
    if (call === "kv-keep") return this.#keep(Number(id));
    if (call === "kv-lease-end") return [this.#endLease(Number(id)) ? 200 : 404, {}];
    return [404, { method: request.method }];
  }

  async #watch(query, response) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const until = performance.now() + Number(query.get("wait-ms") ?? 0);
    const find = () =>
      this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    let events = find();
    while (events.length === 0 && performance.now() < until && !response.destroyed) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          this.#watchers.delete(done);
          resolve();
        };
        const timer = setTimeout(done, Math.max(1, until - performance.now()));
        this.#watchers.add(done);
      });
      events = find();
    }
    return [200, { events, "current-rev": this.#revision }];
  }

  #transact(caller, body) {
    const order = this.onTransaction(caller, body) ?? {};
    if (order.refuse !== undefined) return [order.refuse, {}];
    if (order.silent === true) return silent;
    const answer = this.#carryOut(body);
    order.applied?.();
    return order.drop === true ? silent : answer;
  }

  /** Carries out a transaction that got no answer when it arrived; returns the status that it would have got. */
  applyLate(body) {
    return this.#carryOut(body)[0];
  }

  #carryOut({ expect = [], "set-keys": sets = [], remove = [] }) {
    const current = (key) => this.#records.get(key)?.revision ?? 0;
    if (expect.some(({ key, revision }) => current(key) !== revision)) {
      const items = expect.flatMap(({ key }) => this.#records.get(key) ?? []);
      return [412, { items }];
    }
    if (sets.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return [404, {}];
    return [200, { revision: this.#apply(sets, remove) }];
  }

  #grant(body) {
    const lease = this.#nextLease;
    this.#nextLease += 1;
    const ttl = body["ttl-ms"];
    this.#leases.set(lease, { ttl, timer: setTimeout(() => this.#endLease(lease), ttl) });
    return [200, { lease, "ttl-ms": ttl }];
  }

  #keep(lease) {
    const found = this.#leases.get(lease);
    if (found === undefined) return [404, {}];
    clearTimeout(found.timer);
    found.timer = setTimeout(() => this.#endLease(lease), found.ttl);
    return [200, { lease, "ttl-ms": found.ttl }];
  }

  #endLease(lease) {
    const found = this.#leases.get(lease);
    if (found === undefined) return false;
    clearTimeout(found.timer);
    this.#leases.delete(lease);
    const keys = [...this.#records.values()].filter((item) => item.lease === lease).map(({ key }) => key);
    if (keys.length > 0) this.#apply([], keys);
    return true;
  }
}

/**
 * One life of a worker. What a subtask does is read from the job's `spec`, a JSON text: `ms` holds the run time in
 * milliseconds by step. A step's room and kind come from `shapes`, which the client fills in when it hands in a job.
 */
export class Worker {
  #world;
  #server;
  #fence = 0;
  #startedAt = performance.now();
  #leaseUntil = 0;
  #sequence = 0;
  #ends = [];
  #ended = new Map();
  #running = new Map();
  #timers = new Set();
  #seq = 0;
  #isAlive = true;
  state = "ready";

  constructor(world, { id, service, zone, rack, capacity, machine }) {
    this.#world = world;
    Object.assign(this, { id, service, zone, rack, capacity, machine });
    this.born = Date.now();
  }

  /** Starts this life; a worker that comes back under its id listens on its earlier port again. */
  async start(port = 0) {
    this.#server = await serve((request, response) => this.#handle(request, response), port);
    this.address = `${host}:${this.#server.address().port}`;
    this.#register();
    this.#every(heartbeatMilliseconds, () => this.#register());
    this.#every(20, () => this.#advance());
    return this;
  }

  /** Ends this life at once; its record stays for three heartbeats unless `isKnown`. */
  stop(isKnown) {
    this.#isAlive = false;
    for (const timer of this.#timers) clearInterval(timer);
    this.#server.closeAllConnections();
    this.#server.close();
    for (const run of this.#running.values()) this.#note("run-lost", run);
    this.#running.clear();
    if (isKnown) this.#world.store.remove(`servers/${this.id}`);
    else setTimeout(() => this.#expire(), 3 * heartbeatMilliseconds).unref();
  }

  /** Loses power: what runs is lost, and calls are not answered any more, until `stop` frees the port. */
  goDark() {
    this.#isAlive = false;
    for (const timer of this.#timers) clearInterval(timer);
    for (const run of this.#running.values()) this.#note("run-lost", run);
    this.#running.clear();
    setTimeout(() => this.#expire(), 3 * heartbeatMilliseconds).unref();
  }

  /** Removes the record of a worker that has been silent, unless it has come back meanwhile. */
  #expire() {
    const next = this.#world.workers.get(this.machine);
    if (next === undefined || next === this || next.id !== this.id)
      this.#world.store.remove(`servers/${this.id}`);
  }

  /** Carries out an order that got no answer when it was sent. */
  carryOutLate(url, body) {
    if (url === "/run-start") this.#runStart(body, undefined);
    else if (url === "/run-stop") this.#runStop(body, undefined);
  }

  runningTasks() {
    return [...this.#running.keys()];
  }

  #every(milliseconds, action) {
    this.#timers.add(setInterval(action, milliseconds));
  }

  #register() {
    this.#seq += 1;
    this.#world.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "1",
      slots: 8,
      state: this.state,
      "cold-left-ms": 0,
      seq: this.#seq,
      capacity: this.capacity,
      labels: ["a", this.rack],
      born: this.born,
    });
  }

  #clock() {
    return Math.floor(performance.now() - this.#startedAt);
  }

  #note(kind, run, more = "") {
    this.#world.runs.push({ kind, at: this.#world.record.now(), worker: this.id, ...run });
    const { task, run: number, fence } = run;
    this.#world.record.write(
      `worker ${this.id}: ${kind} ${task} run ${number} fence ${fence}${more === "" ? "" : ` ${more}`}`,
    );
  }

  #advance() {
    if (!this.#isAlive) return;
    const now = performance.now();
    if (this.#running.size > 0 && this.#clock() > this.#leaseUntil) {
      for (const run of [...this.#running.values()]) this.#end(run, "lapsed");
      return;
    }
    for (const run of [...this.#running.values()]) {
      if (run.stopAt !== undefined && run.stopAt <= now) this.#end(run, "stopped");
      else if (run.endsAt <= now) this.#end(run, "done");
    }
  }

  #end(run, how) {
    this.#running.delete(run.task);
    this.#ended.set(run.task, Math.max(run.run, this.#ended.get(run.task) ?? 0));
    this.#sequence += 1;
    this.#ends.push([this.#sequence, run.task, run.run, how, ""]);
    this.#note("run-end", run, how);
  }

  async #handle(request, response) {
    const body = await readBody(request);
    if (this.#world.onWorkerCall(this, request.url, body) === "silent" || !this.#isAlive) return;
    if (request.headers["expect-instance"] !== this.id) {
      this.#answer(response, 421, {});
      return;
    }
    if (request.url === "/hold") await this.#hold(body, response);
    else if (request.url === "/run-start") this.#runStart(body, response);
    else if (request.url === "/run-stop") this.#runStop(body, response);
    else if (request.url === "/pace") this.#answer(response, 200, {});
    else this.#answer(response, 404, {});
  }

  #answer(response, status, body) {
    if (response === undefined) return;
    send(response, status, { "clock-ms": this.#clock(), born: this.born, ...body });
  }

  #isFenced({ "fencing-token": fence = 0 }, response) {
    if (fence < this.#fence) {
      this.#answer(response, 409, { reason: "fence" });
      return true;
    }
    this.#fence = fence;
    return false;
  }

  #extend(until) {
    if (until === undefined) return;
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, this.#clock() + bounds["hold-max-ms"]));
  }

  #runStart(body, response) {
    if (this.#isFenced(body, response)) return;
    const { task, run, spec, "until-ms": until } = body;
    if (until <= this.#clock()) {
      this.#answer(response, 409, { reason: "late" });
      return;
    }
    const present = this.#running.get(task);
    if (present?.run === run) {
      this.#extend(until);
      this.#answer(response, 200, {});
      return;
    }
    this.#extend(until);
    if (present !== undefined || run <= (this.#ended.get(task) ?? 0)) {
      this.#answer(response, 409, { reason: "old" });
      return;
    }
    const [jobId, , step] = task.split(".");
    const shape = this.#world.shapes.get(jobId)?.[Number(step)] ?? { cpu: 0, "mem-mb": 0 };
    const used = [...this.#running.values()].reduce((sum, each) => sum + each.cpu, 0);
    if (used + shape.cpu > this.capacity.cpu) {
      this.#answer(response, 409, { reason: "room" });
      return;
    }
    const work = JSON.parse(spec).ms[Number(step)];
    const fence = body["fencing-token"];
    const started = { task, run, fence, cpu: shape.cpu, endsAt: performance.now() + work, stopAt: undefined };
    this.#running.set(task, started);
    this.#note("run-start", started);
    this.#answer(response, 200, {});
  }

  #runStop(body, response) {
    if (this.#isFenced(body, response)) return;
    const { task, run } = body;
    const present = this.#running.get(task);
    if (present !== undefined && present.run <= run) present.stopAt ??= performance.now() + bounds["stop-ms"];
    this.#ended.set(task, Math.max(run, this.#ended.get(task) ?? 0));
    this.#answer(response, 200, {});
  }

  async #hold(body, response) {
    if (this.#isFenced(body, response)) return;
    this.#extend(body["until-ms"]);
    const acknowledged = body["ack-cursor"] ?? 0;
    for (const [sequence, task, run, how] of this.#ends)
      if (sequence <= acknowledged) this.#note("end-noted", { task, run, fence: body["fencing-token"] }, how);
    this.#ends = this.#ends.filter(([sequence]) => sequence > acknowledged);
    const until = performance.now() + (body["wait-ms"] ?? 0);
    while (this.#ends.length === 0 && performance.now() < until && !response.destroyed) await sleep(10);
    const running = [...this.#running.values()].map(({ task, run, cpu }) => [task, run, "", 50, cpu]);
    this.#answer(response, 200, { running, finished: this.#ends.slice(0, 500) });
  }
}

/** The platform's interface for machines; fence numbers are not checked, as in all small deployments. */
export class Machines {
  #world;
  #server;
  #machines = new Map();
  #maintained = new Set();
  /** All orders in the sequence of their arrival. */
  orders = [];
  answerMilliseconds = 4;
  onOrder = () => undefined;

  constructor(world) {
    this.#world = world;
  }

  async start() {
    this.#server = await serve((request, response) => this.#handle(request, response));
    this.port = this.#server.address().port;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  add(machine) {
    this.#machines.set(machine.machine, machine);
  }

  list() {
    return [...this.#machines.values()];
  }

  async #handle(request, response) {
    const body = await readBody(request);
    if (request.method === "GET") {
      await sleep(this.answerMilliseconds);
      const machines = this.list().map(({ machine, pool, state, zone, labels, capacity, id }) => ({
        machine,
        pool,
        state,
        zone,
        labels,
        capacity,
        ...(id === undefined ? {} : { id }),
      }));
      send(response, 200, { machines, "next-token": "" });
      return;
    }
    const order = {
      kind: request.url.slice(1),
      machine: body.machine,
      pool: body.pool,
      wave: body.wave,
      holder: request.headers["duty-holder"],
      fence: Number(request.headers["fencing-token"]),
      at: this.#world.record.now(),
    };
    this.orders.push(order);
    const result = this.#carryOut(order);
    this.#world.record.write(
      `machines: ${order.kind} ${order.machine} from ${order.holder} fence ${order.fence} -> ${result[0]} ${JSON.stringify(result[1])}`,
    );
    this.onOrder(order);
    await sleep(this.answerMilliseconds);
    send(response, result[0], result[1]);
  }

  #carryOut({ kind, machine: name, pool, wave }) {
    const machine = this.#machines.get(name);
    if (machine === undefined) return [400, {}];
    if (kind === "machine-upkeep") {
      if (this.#maintained.has(`${wave}/${name}`)) return [200, {}];
      if (!(this.#world.store.get(`op/wave/${wave}`)?.machines ?? []).includes(name))
        return [409, { reason: "wave" }];
      if (machine.state !== "up") return [409, { reason: "busy" }];
      this.#maintained.add(`${wave}/${name}`);
      this.#takeDown(machine, "upkeep", machine.pool, bounds["maintenance-s"]);
      return [200, {}];
    }
    if (machine.pool === pool) return [200, {}];
    if (machine.state !== "up") return [409, { reason: "busy" }];
    this.#takeDown(machine, "moving", pool, bounds["migrate-s"]);
    return [200, {}];
  }

  #takeDown(machine, state, pool, seconds) {
    machine.state = state;
    machine.pool = pool;
    machine.id = undefined;
    const worker = this.#world.workers.get(machine.machine);
    this.#world.workers.delete(machine.machine);
    worker?.stop(true);
    setTimeout(() => {
      if (this.#world.isClosed) return;
      machine.state = "up";
      if (!this.#world.isStandby(pool)) void this.#world.startWorker(machine);
    }, seconds * 1000).unref();
  }
}

/**
 * A link of one process to the machine interface. While it is cut, no byte passes in either direction. Bytes that the
 * process had sent are delivered when the cut heals, unless the process has reset its channel meanwhile.
 */
export class MachineLink {
  #server;
  #targetPort;
  #isCut = false;
  #waiting = [];
  /** Called with the first bytes of each request before they are passed on. */
  onRequest = () => undefined;
  /** Called when the process closes (`end`) or resets (`reset`) a channel during a cut. */
  onClose = () => undefined;

  constructor(targetPort) {
    this.#targetPort = targetPort;
  }

  async listen() {
    this.#server = net.createServer({ allowHalfOpen: true }, (client) => this.#connect(client));
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    return this.#server.address().port;
  }

  close() {
    this.#server.close();
  }

  cut() {
    this.#isCut = true;
  }

  heal() {
    this.#isCut = false;
    for (const deliver of this.#waiting.splice(0)) deliver();
  }

  #pass(action) {
    if (this.#isCut) this.#waiting.push(action);
    else action();
  }

  #connect(client) {
    const server = net.connect(this.#targetPort, host);
    let isReset = false;
    client.on("data", (bytes) => {
      this.onRequest(bytes.toString("latin1"));
      this.#pass(() => {
        if (!isReset) server.write(bytes);
      });
    });
    client.on("end", () => {
      if (this.#isCut) this.onClose("end");
      this.#pass(() => server.end());
    });
    client.on("error", () => {
      if (this.#isCut) this.onClose("reset");
      isReset = true;
      server.destroy();
    });
    server.on("data", (bytes) => this.#pass(() => client.destroyed || client.write(bytes)));
    server.on("end", () => this.#pass(() => client.end()));
    server.on("error", () => client.destroy());
  }
}

/** One process of the system, started with the command of the deploy file. */
export class Entry {
  #world;
  #child;
  #settings;

  constructor(world, name, settings, frontPort, readinessPort) {
    this.#world = world;
    this.name = name;
    this.frontPort = frontPort;
    this.readinessPort = readinessPort;
    this.#settings = settings;
  }

  start() {
    const path = join(this.#world.folder, `${this.name}.conf`);
    writeFileSync(path, this.#settings);
    const log = openSync(join(this.#world.folder, `${this.name}.log`), "a");
    this.#child = spawn("node", ["--max-old-space-size=160", "target/dogwoodhoist.cjs"], {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, DOGWOODHOIST_BOOT: path },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    const child = this.#child;
    child.once("exit", (code, signal) => {
      this.#world.record.write(`process ${this.name}: ended (code ${code}, signal ${signal})`);
      if (this.#child === child) this.#child = undefined;
    });
    this.#world.record.write(`process ${this.name}: started`);
  }

  isRunning() {
    return this.#child !== undefined;
  }

  signal(name) {
    this.#world.record.write(`process ${this.name}: ${name}`);
    this.#child?.kill(name);
  }

  end() {
    this.#child?.kill("SIGCONT");
    this.#child?.kill("SIGKILL");
  }

  async isReady() {
    const answer = await call(this.readinessPort, "GET", "/readyz", { milliseconds: 500 });
    return answer.status === 200;
  }
}

/** Makes one HTTP call on a channel of its own; `status` is 0 when there is no complete answer in time. */
export function call(port, method, path, { headers = {}, body, milliseconds = 3000 } = {}) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const request = http.request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers:
          text === undefined
            ? headers
            : {
                ...headers,
                "content-type": "application/json",
                "content-length": Buffer.byteLength(text),
              },
      },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", () => finish({ status: 0, body: "" }));
        response.on("end", () =>
          finish({ status: response.statusCode, body: Buffer.concat(chunks).toString("utf8") }),
        );
      },
    );
    const finish = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    const timer = setTimeout(() => {
      request.destroy();
      finish({ status: 0, body: "" });
    }, milliseconds);
    request.on("error", () => finish({ status: 0, body: "" }));
    request.end(text);
  });
}

const reservedPorts = new Set();
const lowestPort = 12_000;
const portCount = 18_000;

/** Finds ports below those that the machine gives to outgoing channels, so that none is taken before its process starts. */
async function findFreePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = lowestPort + (randomBytes(4).readUInt32LE() % portCount);
    if (reservedPorts.has(port) || !(await isFree(port))) continue;
    reservedPorts.add(port);
    ports.push(port);
  }
  return ports.sort((left, right) => left - right);
}

function isFree(port) {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A small deployment. */
export class World {
  workers = new Map();
  runs = [];
  shapes = new Map();
  entries = [];
  machineLinks = new Map();
  isClosed = false;
  onWorkerCall = () => undefined;
  #nextWorker = 1;

  constructor(recordPath, { pools, zones = ["zone-a", "zone-b"], capacity, perRack = 4 }) {
    this.record = new Record(recordPath);
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.store = new Store();
    this.machines = new Machines(this);
    this.pools = pools;
    this.zones = zones;
    this.capacity = capacity ?? { cpu: 64000, "mem-mb": 262144, gpu: 0 };
    this.perRack = perRack;
    // Whatever happens, no process that was started outlives the script.
    process.on("exit", () => {
      for (const entry of this.entries) entry.end();
    });
    for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => process.exit(2));
  }

  isStandby(pool) {
    return this.pools.find(({ name }) => name === pool)?.standby === true;
  }

  async start(entryCount) {
    await this.machines.start();
    for (const { name, workers } of this.pools) {
      for (let index = 0; index < workers; index += 1) {
        const machine = {
          machine: `m-${name}-${index}`,
          pool: name,
          state: "up",
          zone: this.zones[index % this.zones.length],
          labels: ["a", `rack-${name}-${Math.floor(index / this.perRack)}`],
          capacity: this.capacity,
          id: undefined,
        };
        this.machines.add(machine);
        if (!this.isStandby(name)) await this.startWorker(machine);
      }
    }
    this.configure(3);
    for (let index = 0; index < entryCount; index += 1) await this.#addEntry(`entry-${index + 1}`, index);
    for (const entry of this.entries) entry.start();
    const areReady = async () =>
      (await Promise.all(this.entries.map((entry) => entry.isReady()))).every((isReady) => isReady);
    return waitFor(areReady, 15_000, 100);
  }

  configure(version) {
    this.store.put("op/config", {
      version,
      routes: this.pools
        .filter(({ standby }) => standby !== true)
        .map(({ name, attempts = 3, advice }) => ({
          name: `queue-${name}`,
          host: `${name}.example`,
          prefix: `/${name}/`,
          "timeout-ms": 3000,
          "objective-ms": 600,
          priority: 0,
          service: name,
          attempts,
          "slack-factor": 1.6,
          ...(advice === undefined ? {} : { advice }),
        })),
      services: this.pools.map(({ name, standby = false, enforces = true }) => ({
        name,
        "enforces-capacity": enforces,
        standby,
      })),
      limits: {
        "max-header-bytes": 16384,
        "max-body-bytes": 262144,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
      },
    });
  }

  async startWorker(machine) {
    const worker = new Worker(this, {
      id: `w${this.#nextWorker}${randomBytes(3).toString("hex")}`,
      service: machine.pool,
      zone: machine.zone,
      rack: machine.labels[1],
      capacity: machine.capacity,
      machine: machine.machine,
    });
    this.#nextWorker += 1;
    await worker.start();
    machine.id = worker.id;
    this.workers.set(machine.machine, worker);
    return worker;
  }

  /** Crashes a worker; it starts again under its id, and remembers nothing. */
  async restartWorker(worker, downMilliseconds) {
    const { id, service, zone, rack, capacity, machine, address } = worker;
    this.record.write(`worker ${id}: goes dark`);
    const listed = this.machines.list().find((each) => each.machine === machine);
    listed.state = "down";
    worker.goDark();
    await sleep(downMilliseconds);
    listed.state = "up";
    worker.stop(false);
    const next = new Worker(this, { id, service, zone, rack, capacity, machine });
    this.workers.set(machine, next);
    await next.start(Number(address.split(":")[1]));
    this.record.write(`worker ${id}: starts again`);
    return next;
  }

  async #addEntry(name, index) {
    const [front, readiness, control, peers, metrics] = await findFreePorts(5);
    const storePort = await this.store.listenFor(name);
    const machineLink = new MachineLink(this.machines.port);
    this.machineLinks.set(name, machineLink);
    const machinesPort = await machineLink.listen();
    const fields = {
      "node-name": name,
      role: "entry",
      "machine-class": "edge",
      serves: "edge",
      ip: host,
      zone: this.zones[index % this.zones.length],
      region: "region-1",
      "listen.front": `${host}:${front}`,
      "listen.readiness": `${host}:${readiness}`,
      "listen.control": `${host}:${control}`,
      "internal-ports": `${peers},${metrics}`,
      bootstrap: true,
      "fault-counted": false,
      "limits.cpu-share": 0.675,
      "limits.cores": 1,
      "limits.memory-mb": 350,
      "limits.max-fds": 4100,
      "limits.link-mbps": "1000.0",
      "limits.disk-mb": 0,
      discovery: "platform",
      entry: "vip",
      "heartbeat-ms": heartbeatMilliseconds,
      contracts: "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
      ...Object.fromEntries(Object.entries(bounds).map(([key, value]) => [`bounds.${key}`, value])),
      orders: "invoke",
      "platform.address": `${host}:${storePort}`,
      "platform.form": "kv",
      "platform.writes-per-s": 400,
      "platform.reads-per-s": 2000,
      "platform.history-s": 20,
      "platform.value-bytes": 1048576,
      "platform.ttl-min-ms": 1000,
      "cloud-api.address": `${host}:${machinesPort}`,
      "cloud-api.rate-per-s": "64.0",
      "cloud-api.duties": "",
      "cloud-api.duty-per-s": "64.0",
    };
    const settings = `${Object.entries(fields)
      .map(([key, value]) => `${key}=${value}`)
      .join("\n")}\n`;
    this.entries.push(new Entry(this, name, settings, front, readiness));
  }

  entry(name) {
    return this.entries.find((entry) => entry.name === name);
  }

  /** The process that holds a pool, as the store names it. */
  ownerOf(pool) {
    const key = this.store.keys("members/").find((each) => each.endsWith(`/${pool}`));
    const name = key === undefined ? undefined : this.store.get(key)?.entryId;
    return this.entry(name);
  }

  /** Sends a request of a consumer and records it with its answer. */
  async consume(entry, method, pool, jobId, { body, milliseconds = 3000 } = {}) {
    if (body !== undefined) this.shapes.set(jobId, body.steps);
    const path = `/${pool}/${jobId}`;
    this.record.write(`consumer: ${method} ${path} to ${entry.name}`);
    const headers = { host: `${pool}.example`, "deadline-ms": String(milliseconds) };
    const answer = await call(entry.frontPort, method, path, { headers, body, milliseconds });
    const text = answer.status === 0 ? "no answer, the consumer leaves" : `${answer.status} ${answer.body}`;
    this.record.write(`consumer: ${method} ${path} at ${entry.name} -> ${text}`);
    return answer;
  }

  close() {
    this.isClosed = true;
    for (const entry of this.entries) entry.end();
    for (const worker of this.workers.values()) worker.stop(true);
    for (const link of this.machineLinks.values()) link.close();
    this.machines.close();
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
    else this.record.write(`logs are kept`);
  }
}

export const newId = () => randomBytes(8).toString("hex");

/** Runs a case with a limit of time: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(play, limitSeconds = 100) {
  const timer = setTimeout(() => {
    process.stdout.write("the case did not end in time\n");
    process.exit(2);
  }, limitSeconds * 1000);
  try {
    const code = await play(process.env.TROUBLE !== "0");
    clearTimeout(timer);
    process.exit(code);
  } catch (error) {
    process.stdout.write(`${error.stack}\n`);
    process.exit(2);
  }
}
