/**
 * Stand-in of the platform's store: items with revisions, leases, conditional writes and watches, as PROTOCOL.md says.
 * Values longer than `value-bytes` are refused with 400; nothing is done then.
 */
import { performance } from "node:perf_hooks";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";
import { Buffer } from "node:buffer";
import { answer, readJson, serve } from "./http.mjs";

const valueBytes = 1_048_576;
const pageItems = 500;
const pageBytes = 1_000_000;
const answerMs = 4;
const sweepMs = 20;

/** The stored items with their history. */
class Items {
  revision = 100;
  items = new Map();
  leases = new Map();
  history = [];
  waiting = new Set();
  #nextLease = 7_000;

  put(key, value, lease = 0) {
    this.revision += 1;
    this.#set(key, value, lease);
    this.#wake();
  }

  putJson(key, value) {
    this.put(key, Buffer.from(JSON.stringify(value)).toString("base64"));
  }

  readJson(key) {
    const item = this.items.get(key);
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
  }

  removeAll(keys) {
    const present = keys.filter((key) => this.items.has(key));
    if (present.length === 0) return;
    this.revision += 1;
    for (const key of present) this.#delete(key);
    this.#wake();
  }

  /** Applies a transaction; returns its status and body. */
  transact({ expect = [], "set-keys": sets = [], remove = [] }) {
    const tooLong = sets.some(({ value }) => Buffer.byteLength(value, "base64") > valueBytes);
    if (tooLong || expect.length + sets.length + remove.length > 32) return [400, {}];
    const current = expect.map(({ key }) => this.items.get(key) ?? { key, revision: 0 });
    if (current.some(({ revision }, index) => revision !== expect[index].revision))
      return [412, { items: current }];
    if (sets.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return [404, {}];
    this.revision += 1;
    for (const { key, value, lease = 0 } of sets) this.#set(key, value, lease);
    for (const key of remove) if (this.items.has(key)) this.#delete(key);
    this.#wake();
    return [200, { revision: this.revision }];
  }

  grant(ttlMs) {
    this.#nextLease += 1;
    this.leases.set(this.#nextLease, { ttlMs, until: performance.now() + ttlMs });
    return this.#nextLease;
  }

  renew(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return 0;
    lease.until = performance.now() + lease.ttlMs;
    return lease.ttlMs;
  }

  end(id) {
    if (!this.leases.delete(id)) return false;
    this.removeAll([...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => key));
    return true;
  }

  expireLeases() {
    const now = performance.now();
    for (const [id, { until }] of this.leases) if (until <= now) this.end(id);
  }

  eventsAfter(prefix, revision) {
    return this.history.filter((event) => event.revision > revision && event.key.startsWith(prefix));
  }

  #set(key, value, lease) {
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease };
    this.items.set(key, item);
    this.history.push(item);
  }

  #delete(key) {
    this.items.delete(key);
    this.history.push({ key, revision: this.revision, deleted: true });
  }

  #wake() {
    for (const check of [...this.waiting]) check();
  }
}

function range(items, prefix, after) {
  const keys = [...items.items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
  const page = [];
  let bytes = 0;
  for (const key of keys) {
    const item = items.items.get(key);
    bytes += item.value.length;
    if (page.length >= pageItems || (page.length > 0 && bytes > pageBytes)) break;
    page.push(item);
  }
  return { items: page, "more-pages": page.length < keys.length, "current-rev": items.revision };
}

function watch(items, url, response) {
  const prefix = url.searchParams.get("prefix") ?? "";
  const after = Number(url.searchParams.get("after"));
  const finish = () => {
    clearTimeout(timer);
    items.waiting.delete(check);
    answer(response, 200, { events: items.eventsAfter(prefix, after), "current-rev": items.revision });
  };
  const check = () => {
    if (items.eventsAfter(prefix, after).length > 0) finish();
  };
  const timer = setTimeout(finish, Number(url.searchParams.get("wait-ms") ?? "0"));
  response.on("close", () => {
    clearTimeout(timer);
    items.waiting.delete(check);
  });
  items.waiting.add(check);
  check();
}

async function change(items, request, response, url) {
  if (url.pathname === "/kv-txn") {
    const [status, body] = items.transact((await readJson(request)) ?? {});
    answer(response, status, body);
  } else if (url.pathname === "/kv-lease") {
    const ttlMs = (await readJson(request))?.["ttl-ms"] ?? 1_000;
    answer(response, 200, { lease: items.grant(ttlMs), "ttl-ms": ttlMs });
  } else if (url.pathname.startsWith("/kv-keep/")) {
    const ttlMs = items.renew(Number(url.pathname.slice("/kv-keep/".length)));
    answer(response, ttlMs > 0 ? 200 : 404, { "ttl-ms": ttlMs });
  } else if (url.pathname.startsWith("/kv-lease-end/")) {
    const hasEnded = items.end(Number(url.pathname.slice("/kv-lease-end/".length)));
    answer(response, hasEnded ? 200 : 404, {});
  } else answer(response, 404, {});
}

/** Starts a store; `items` gives the operator's and the workers' way in. */
export async function startStore() {
  const items = new Items();
  const sweep = setInterval(() => {
    items.expireLeases();
  }, sweepMs);
  const server = await serve(async (request, response, url) => {
    await new Promise((resolve) => setTimeout(resolve, answerMs));
    if (url.pathname === "/kv-key") {
      const item = items.items.get(url.searchParams.get("key") ?? "");
      answer(response, item === undefined ? 404 : 200, { ...item, "current-rev": items.revision });
    } else if (url.pathname === "/kv-range") {
      const { searchParams } = url;
      answer(response, 200, range(items, searchParams.get("prefix") ?? "", searchParams.get("after") ?? ""));
    } else if (url.pathname === "/kv-watch") watch(items, url, response);
    else await change(items, request, response, url);
  });
  const close = () => {
    clearInterval(sweep);
    server.close();
  };
  return { items, address: server.address, close };
}
