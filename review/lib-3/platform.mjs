/**
 * Small stand-ins of the platform, as PROTOCOL.md describes it: the metadata store, workers and the list of machines. They live
 * in the process of the test; the entries are separate processes, started with the command of the deploy file.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";
import { fileURLToPath, URL } from "node:url";

export const host = "127.0.0.1";
export const root = fileURLToPath(new URL("../../", import.meta.url));
const storeAnswerMilliseconds = 4;

export const sleep = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Waits until a condition holds; returns whether it did within the time. */
export async function until(condition, milliseconds, everyMilliseconds = 20) {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) {
    if (await condition()) return true;
    await sleep(everyMilliseconds);
  }
  return false;
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? {} : JSON.parse(text);
}

function answer(response, status, body) {
  if (response.destroyed) return;
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, { "content-type": "application/json", "content-length": bytes.length });
  response.end(bytes);
}

async function listen(handler) {
  const server = http.createServer((request, response) => {
    handler(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    port: server.address().port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

export async function freePorts(count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = net.createServer();
    await new Promise((resolve) => server.listen(0, host, resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port).sort((left, right) => left - right);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** The platform's metadata store. */
export class Store {
  #items = new Map();
  #events = [];
  #leases = new Map();
  #nextLease = 1000;
  #watchers = new Set();
  revision = 10;
  port = 0;
  #service;

  async start() {
    this.#service = await listen((request, response) => this.#handle(request, response));
    this.port = this.#service.port;
  }

  close() {
    this.#service?.close();
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
  }

  /** Reads a value as JSON; undefined for a key that does not exist. */
  read(key) {
    const item = this.#items.get(key);
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
  }

  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  /** A write of the operator or of a worker. */
  put(key, value) {
    this.revision += 1;
    this.#set(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
    this.#wake();
    return this.revision;
  }

  remove(key) {
    this.revision += 1;
    this.#delete(key);
    this.#wake();
  }

  #set(key, value, lease) {
    const created = this.#items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease };
    this.#items.set(key, item);
    this.#events.push(item);
  }

  #delete(key) {
    if (!this.#items.delete(key)) return;
    this.#events.push({ key, revision: this.revision, deleted: true });
  }

  #wake() {
    for (const watcher of [...this.#watchers]) watcher();
  }

  #endLease(id) {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    this.revision += 1;
    for (const item of [...this.#items.values()]) if (item.lease === id) this.#delete(item.key);
    this.#wake();
    return true;
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const body = await readBody(request);
    await sleep(storeAnswerMilliseconds);
    const current = { "current-rev": this.revision };
    if (url.pathname === "/kv-key") {
      const item = this.#items.get(query.get("key"));
      answer(response, item === undefined ? 404 : 200, { ...(item ?? {}), ...current });
    } else if (url.pathname === "/kv-range") {
      const after = query.get("after") ?? "";
      const keys = this.keys(query.get("prefix")).filter((key) => key > after);
      const items = keys.slice(0, 500).map((key) => this.#items.get(key));
      answer(response, 200, { items, "more-pages": keys.length > 500, ...current });
    } else if (url.pathname === "/kv-watch") {
      this.#watch(query, response);
    } else if (url.pathname === "/kv-txn") {
      this.#transact(body, response);
    } else if (url.pathname === "/kv-lease") {
      this.#nextLease += 1;
      const id = this.#nextLease;
      const ttl = body["ttl-ms"];
      this.#leases.set(id, { ttl, timer: setTimeout(() => this.#endLease(id), ttl) });
      answer(response, 200, { lease: id, "ttl-ms": ttl });
    } else if (url.pathname.startsWith("/kv-keep/")) {
      const id = Number(url.pathname.slice("/kv-keep/".length));
      const lease = this.#leases.get(id);
      if (lease === undefined) return answer(response, 404, {});
      clearTimeout(lease.timer);
      lease.timer = setTimeout(() => this.#endLease(id), lease.ttl);
      answer(response, 200, { "ttl-ms": lease.ttl });
    } else if (url.pathname.startsWith("/kv-lease-end/")) {
      const id = Number(url.pathname.slice("/kv-lease-end/".length));
      answer(response, this.#endLease(id) ? 200 : 404, {});
    } else answer(response, 404, {});
  }

  #watch(query, response) {
    const prefix = query.get("prefix");
    const after = Number(query.get("after"));
    const find = () => this.#events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const send = () => {
      clearTimeout(timer);
      this.#watchers.delete(check);
      answer(response, 200, { events: find(), "current-rev": this.revision });
    };
    const check = () => {
      if (find().length > 0) send();
    };
    const timer = setTimeout(send, Number(query.get("wait-ms") ?? 0));
    this.#watchers.add(check);
    check();
  }

  #transact(body, response) {
    const { expect = [], remove = [] } = body;
    const sets = body["set-keys"] ?? [];
    const isMet = expect.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision);
    if (!isMet) {
      const items = expect.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 });
      return answer(response, 412, { items });
    }
    if (sets.some(({ lease }) => lease !== 0 && lease !== undefined && !this.#leases.has(lease)))
      return answer(response, 404, {});
    this.revision += 1;
    for (const { key, value, lease = 0 } of sets) this.#set(key, value, lease);
    for (const key of remove) this.#delete(key);
    answer(response, 200, { revision: this.revision });
    this.#wake();
  }
}

/**
 * One life of a worker. A task's behaviour stands in its spec, as the fields `ms` (its run time), `cpu`, `long` and `fails`. The record of
 * every run that it has begun lies in `runs`.
 */
export class Worker {
  running = new Map();
  #stopped = new Map();
  #finished = [];
  #sequence = 0;
  #fence = 0;
  #until = 0;
  #startedAt = performance.now();
  #born = Date.now();
  #service;
  #heartbeat;
  #timer;
  #beat = 0;
  state = "ready";
  /** Whether nothing reaches the worker, and nothing that it says reaches others. */
  isSilent = false;

  constructor(store, world, options) {
    this.store = store;
    this.world = world;
    this.options = {
      stopMilliseconds: 0,
      guards: true,
      holdMaximumMilliseconds: 6_000,
      heartbeatMilliseconds: 1_500,
      ...options,
    };
  }

  async start() {
    this.#service = await listen((request, response) => this.#handle(request, response));
    this.address = `${host}:${this.#service.port}`;
    this.#beginHeartbeats();
    this.#timer = setInterval(() => this.#advance(), 5);
  }

  #beginHeartbeats() {
    this.#register();
    this.#heartbeat = setInterval(() => this.#register(), this.options.heartbeatMilliseconds);
  }

  close() {
    clearInterval(this.#heartbeat);
    clearInterval(this.#timer);
    this.#service?.close();
  }

  /** The worker crashes: it runs nothing any more. It stays silent and unheard until it is heard again. */
  crash() {
    this.isSilent = true;
    for (const { record } of this.running.values()) {
      record.endedAt = Math.round(performance.now());
      record.how = "lost with the worker";
    }
    this.running.clear();
  }

  /** A new life under the same identifier: it holds and knows nothing of before, and its clock starts anew. */
  restart() {
    this.#stopped.clear();
    this.#finished = [];
    this.#sequence = 0;
    this.#fence = 0;
    this.#until = 0;
    this.#startedAt = performance.now();
    this.#born = Date.now();
    clearInterval(this.#heartbeat);
    this.#beginHeartbeats();
  }

  /** The worker is reached again, and writes its entry with its next heartbeat. Calls that came meanwhile stay without an answer. */
  hear() {
    this.isSilent = false;
  }

  /** Carries out a start that got no answer, as a worker may seconds later. */
  carryOutLate(body) {
    const token = body["fencing-token"] ?? 0;
    if (token < this.#fence) return;
    this.#fence = token;
    const ignore = { destroyed: true };
    this.#startRun(body, ignore, () => ({}));
  }

  /** The worker is gone at once, with all that runs on it, and says nothing any more. */
  lose() {
    this.close();
    for (const { record } of this.running.values()) {
      record.endedAt = Math.round(performance.now());
      record.how = "lost with the worker";
    }
    this.running.clear();
  }

  clock() {
    return performance.now() - this.#startedAt;
  }

  usedCpu() {
    return [...this.running.values()].reduce((sum, { cpu }) => sum + cpu, 0);
  }

  #register() {
    if (this.isSilent) return;
    this.#beat += 1;
    const { id, service, zone = "zone-1", capacity } = this.options;
    this.store.put(`servers/${id}`, {
      service,
      address: this.address,
      zone,
      version: "v1",
      slots: 8,
      state: this.state,
      "cold-left-ms": 0,
      seq: this.#beat,
      capacity,
      labels: ["a", "r1"],
      born: this.#born,
    });
  }

  #advance() {
    const now = performance.now();
    for (const run of [...this.running.values()]) {
      if (run.stopsAt !== undefined) {
        if (run.stopsAt <= now) this.#end(run, "stopped");
      } else if (!run.long && run.endsAt <= now) this.#end(run, run.fails ? "failed" : "done");
    }
    if (this.clock() > this.#until) for (const run of [...this.running.values()]) this.#end(run, "lapsed");
  }

  #end(run, how) {
    this.running.delete(run.task);
    this.#sequence += 1;
    this.#stopped.set(run.task, Math.max(run.run, this.#stopped.get(run.task) ?? 0));
    this.#finished.push([this.#sequence, run.task, run.run, how, ""]);
    run.record.endedAt = Math.round(performance.now());
    run.record.how = how;
    this.world.onEnd?.(run.record);
  }

  async #handle(request, response) {
    const body = await readBody(request);
    const clock = () => ({ "clock-ms": Math.floor(this.clock()), born: this.#born });
    if (this.world.onCall?.(this, request.url, body) === "no answer" || this.isSilent) return;
    if (request.headers["expect-instance"] !== this.options.id) return answer(response, 421, clock());
    const token = body["fencing-token"] ?? 0;
    if (token < this.#fence) return answer(response, 409, { ...clock(), reason: "fence" });
    this.#fence = token;
    this.#advance();
    if (request.url === "/run-start") return this.#startRun(body, response, clock);
    if (request.url === "/run-stop") {
      const run = this.running.get(body.task);
      this.#stopped.set(body.task, Math.max(body.run, this.#stopped.get(body.task) ?? 0));
      if (run !== undefined && run.run <= body.run)
        run.stopsAt ??= performance.now() + this.options.stopMilliseconds;
      this.#advance();
      return answer(response, 200, clock());
    }
    if (request.url === "/pace") return answer(response, 200, clock());
    if (request.url !== "/hold") return answer(response, 404, {});
    this.#extend(body["until-ms"]);
    const cursor = body["ack-cursor"] ?? 0;
    for (const end of this.#finished) if (end[0] <= cursor) this.world.onAcknowledged?.(end[1], end[3]);
    this.#finished = this.#finished.filter(([sequence]) => sequence > cursor);
    const end = performance.now() + Math.min(body["wait-ms"] ?? 0, 2_000);
    const startedAt = this.#startedAt;
    while (this.#finished.length === 0 && performance.now() < end && !response.destroyed) await sleep(10);
    if (this.isSilent || this.#startedAt !== startedAt) return;
    const running = [...this.running.values()].map((run) => [run.task, run.run, "", 100, 0]);
    answer(response, 200, { ...clock(), running, finished: this.#finished.slice(0, 500) });
  }

  #extend(until) {
    if (until === undefined) return;
    const latest = this.clock() + this.options.holdMaximumMilliseconds;
    this.#until = Math.max(this.#until, Math.min(until, latest));
  }

  #startRun(body, response, clock) {
    const { task, run, spec } = body;
    if (body["until-ms"] <= this.clock()) return answer(response, 409, { ...clock(), reason: "late" });
    const present = this.running.get(task);
    if (present?.run === run) {
      this.#extend(body["until-ms"]);
      return answer(response, 200, clock());
    }
    if (run <= (this.#stopped.get(task) ?? 0)) {
      this.#extend(body["until-ms"]);
      return answer(response, 409, { ...clock(), reason: "old" });
    }
    const what = JSON.parse(spec);
    const cpu = what.cpu ?? 0;
    this.#extend(body["until-ms"]);
    if (this.options.guards && this.usedCpu() + cpu > this.options.capacity.cpu)
      return answer(response, 409, { ...clock(), reason: "room" });
    const now = performance.now();
    const record = {
      task,
      run,
      worker: this.options.id,
      token: body["fencing-token"],
      startedAt: Math.round(now),
      endedAt: undefined,
      how: undefined,
      usedBefore: this.usedCpu(),
      cpu,
    };
    this.world.runs.push(record);
    const { ms = 500, long = false, fails = false } = what;
    this.running.set(task, { task, run, cpu, long, fails, endsAt: now + ms, record });
    answer(response, 200, clock());
  }
}

/** The platform's list of machines; every machine stays where it is. */
export class Machines {
  constructor(machines) {
    this.machines = machines;
  }

  async start() {
    this.service = await listen(async (request, response) => {
      if (request.method === "GET")
        return answer(response, 200, { machines: this.machines, "next-token": null });
      await readBody(request);
      answer(response, 409, { reason: "busy" });
    });
    this.port = this.service.port;
  }

  close() {
    this.service?.close();
  }
}

const deployFile = readFileSync(join(root, "deploy/system.toml"), "utf8");
const command = /^run = "([^"]+)"$/m.exec(deployFile)[1].split(" ");

/** One entry: a process of the program, started with the command of the deploy file. */
export class Entry {
  constructor(folder, name, settings) {
    this.folder = folder;
    this.name = name;
    this.settings = settings;
  }

  async prepare() {
    const [front, readiness, control, internal, metrics] = await freePorts(5);
    Object.assign(this, { front, readiness });
    const at = (port) => `${host}:${port}`;
    const fields = {
      "node-name": this.name,
      role: "entry",
      "machine-class": "edge",
      serves: "edge",
      ip: host,
      zone: "zone-1",
      region: "region-1",
      "zones.zone-1": "region-1",
      "listen.front": at(front),
      "listen.readiness": at(readiness),
      "listen.control": at(control),
      "internal-ports": `${internal},${metrics}`,
      bootstrap: "true",
      "limits.cpu-share": "0.675",
      "limits.cores": "1",
      "limits.memory-mb": "350",
      "limits.max-fds": "4100",
      "limits.link-mbps": "1000.0",
      discovery: "platform",
      entry: "vip",
      "heartbeat-ms": "1500",
      contracts: "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
      "bounds.contact-ms": "3000",
      "bounds.ack-ms": "4000",
      "bounds.drain-ms": "2000",
      "bounds.grace-s": "6",
      "bounds.config-apply-ms": "2000",
      "bounds.hold-max-ms": "6000",
      "bounds.stop-ms": "900",
      "bounds.gang-ms": "3000",
      "bounds.cancel_ms": "3000",
      "bounds.visible_ms": "3000",
      "bounds.early_ms": "250",
      "bounds.finish_s": "14",
      "bounds.status_s": "120",
      "bounds.notice-ms": "4500",
      "bounds.fencing-enforced": "false",
      "bounds.lease-ms": "3000",
      orders: "invoke",
      "platform.form": "kv",
      "platform.writes-per-s": "400",
      "platform.reads-per-s": "2000",
      "platform.history-s": "20",
      "platform.value-bytes": "1048576",
      "platform.ttl-min-ms": "1000",
      "cloud-api.rate-per-s": "64.0",
      "cloud-api.duty-per-s": "64.0",
      ...this.settings,
    };
    this.settingsPath = join(this.folder, `${this.name}.conf`);
    const lines = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
    writeFileSync(this.settingsPath, `${lines.join("\n")}\n`);
  }

  start() {
    const log = openSync(join(this.folder, `${this.name}.log`), "a");
    const [program, ...words] = command;
    this.child = spawn(program, words, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, DOGWOODHOIST_BOOT: this.settingsPath },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    this.exited = new Promise((resolve) => this.child.once("exit", resolve));
  }

  signal(name) {
    this.child?.kill(name);
  }

  async isReady() {
    const { status } = await call(this.readiness, "GET", "/readyz", {}, undefined, 500);
    return status === 200;
  }

  log() {
    return readFileSync(join(this.folder, `${this.name}.log`), "utf8");
  }
}

/** One request on a new channel; status 0 for a channel that ends without a complete answer. */
export function call(port, method, path, headers = {}, body = undefined, milliseconds = 3_500) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const request = http.request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          ...headers,
          ...(text === undefined
            ? {}
            : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
        },
      },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", () => resolve({ status: 0 }));
        response.on("end", () => {
          let parsed;
          try {
            parsed = JSON.parse(Buffer.concat(chunks).toString("utf8"));
          } catch {
            parsed = undefined;
          }
          resolve({ status: response.statusCode, body: parsed });
        });
      },
    );
    request.setTimeout(milliseconds, () => request.destroy(new Error("time limit")));
    request.on("error", (error) => resolve({ status: 0, error: error.message }));
    request.end(text);
  });
}

/** A manifest with the given routes and services; each route has at least a name, a prefix and a service. */
export function manifest(version, routes, services) {
  return {
    version,
    routes: routes.map((route) => ({
      host: "office.example",
      kind: "non_idempotent",
      "timeout-ms": 3_000,
      "objective-ms": 2_500,
      priority: 0,
      attempts: 3,
      "slack-factor": 2,
      ...route,
    })),
    services: services.map((service) => ({
      "health-path": "/healthz",
      "max-conns": 64,
      protocol: "h1",
      tls: false,
      "enforces-capacity": true,
      standby: false,
      ...service,
    })),
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 262_144,
      "header-timeout-ms": 3_000,
      "idle-timeout-ms": 15_000,
    },
  };
}

/** A small deployment: the store, workers, the list of machines and entries. */
export class Deployment {
  world = { runs: [] };
  workers = [];
  entries = [];

  async start({ entries, workers, routes, services, settings = {} }) {
    this.folder = mkdtempSync(join(tmpdir(), "review-3-"));
    process.once("exit", () => this.#end());
    for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => process.exit(2));
    this.store = new Store();
    await this.store.start();
    this.version = 3;
    this.store.put("op/config", manifest(this.version, routes, services));
    for (const options of workers) {
      const worker = new Worker(this.store, this.world, options);
      await worker.start();
      this.workers.push(worker);
    }
    this.machines = new Machines(
      workers.map(({ id, service, capacity }) => ({
        machine: `m-${id}`,
        pool: service,
        state: "up",
        zone: "zone-1",
        labels: ["a", "r1"],
        capacity,
        id,
      })),
    );
    await this.machines.start();
    for (let index = 1; index <= entries; index += 1) {
      const entry = new Entry(this.folder, `edge-${index}`, {
        "platform.address": `${host}:${this.store.port}`,
        "cloud-api.address": `${host}:${this.machines.port}`,
        ...settings,
      });
      await entry.prepare();
      entry.start();
      this.entries.push(entry);
    }
    const pools = services.filter(({ standby }) => standby !== true).map(({ name }) => name);
    const isUp = async () => {
      const ready = await Promise.all(this.entries.map((entry) => entry.isReady()));
      return ready.every(Boolean) && pools.every((pool) => this.owner(pool) !== undefined);
    };
    return until(isUp, 15_000, 100);
  }

  configure(routes, services) {
    this.version += 3;
    this.store.put("op/config", manifest(this.version, routes, services));
  }

  /** The entry that owns a pool. The key is read only to aim the disruption; nothing is judged by it. */
  owner(pool) {
    const name = this.store.read(`members/homes/${pool}`)?.entryId;
    return this.entries.find((entry) => entry.name === name);
  }

  #end() {
    for (const { child } of this.entries) child?.kill("SIGKILL");
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stdout.write(`logs: ${this.folder}\n`);
  }

  close() {
    this.#end();
    for (const worker of this.workers) worker.close();
    this.machines?.close();
    this.store?.close();
  }
}

/** Writes record.txt, and the verdict to standard output. */
export class Record {
  #lines = [];
  #startedAt = performance.now();

  constructor(path) {
    this.path = path;
  }

  note(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    this.#lines.push(`${seconds.padStart(8)} s  ${text}`);
    writeFileSync(this.path, `${this.#lines.join("\n")}\n`);
  }

  end(code, text) {
    this.note(`${["held", "BROKEN", "could not run"][code]}: ${text}`);
    process.stdout.write(`${["held", "BROKEN", "could not run"][code]}: ${text}\n`);
    process.exit(code);
  }
}

/** A job identifier as a consumer chooses it. */
export function jobIdentifier(number) {
  const random = Math.floor(Math.random() * 2 ** 32).toString(16);
  return `${random.padStart(8, "0")}${number.toString(16).padStart(8, "0")}`;
}
