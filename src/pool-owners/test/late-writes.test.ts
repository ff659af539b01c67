/**
 * Records that an entry writes once under its lease, when the store leaves the first write without an answer and carries it
 * out late: the owner record of a pool and the record of a leader role.
 * @packageDocumentation
 */
import Emittery from "emittery";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  createStoreEngine,
  createStoreFaults,
  MemoryStoreClient,
  type StoreEngine,
} from "../../stand-ins/index.js";
import type { StoreTransaction } from "../../store/index.js";
import { createLog } from "../../telemetry/index.js";
import type { EntrySession, EntrySessionEvents } from "../entry-session.js";
import { ownerPrefix } from "../owner-record.js";
import { takePool } from "../owner-takeover.js";
import { leaderRolePrefix, SessionLeaderRole } from "../session-leader-role.js";

const pool = "presses";
const member = { entryId: "a", incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" };
const ownerKey = `${ownerPrefix}${pool}`;
const roleKey = `${leaderRolePrefix}fleet`;

let engine: StoreEngine;
let store: MemoryStoreClient;
let late: (() => Promise<string>) | undefined;

beforeEach(() => {
  engine = createStoreEngine();
  store = new MemoryStoreClient(engine, createStoreFaults());
  late = undefined;
});
afterEach(() => {
  engine.close();
});

async function grantLease(): Promise<string> {
  return (await store.grantLease(60)).unsafeCoerce().leaseId;
}

/** Leaves the first transaction that writes a key without an answer; `late` carries it out. */
function holdFirstWrite(key: string): void {
  const transact = store.transact.bind(store);
  store.transact = async (transaction: StoreTransaction) => {
    if (late !== undefined || !transaction.writes.some((write) => write.key === key))
      return transact(transaction);
    late = async () => (await transact(transaction)).kind;
    return Promise.resolve({ kind: "unknown", failure: { kind: "timeout", message: "no answer" } });
  };
}

test("a late write of an owner record does not replace the record under which the pool is owned", async () => {
  holdFirstWrite(ownerKey);
  const take = { pool, member, heldRevision: 0 };
  const first = await takePool(store, { ...take, leaseId: await grantLease(), term: "first" });
  expect(first.isLeft()).toBe(true);
  const leaseId = await grantLease();
  expect((await takePool(store, { ...take, leaseId, term: "second" })).isRight()).toBe(true);
  expect(await late?.()).toBe("conflict");
  expect(engine.range(ownerKey)).toMatchObject([{ leaseId }]);
});

test("a late write of a leader role neither stays with a lease that was lost nor replaces the present holder", async () => {
  holdFirstWrite(roleKey);
  let leaseId = await grantLease();
  const session: EntrySession = {
    events: new Emittery<EntrySessionEvents>(),
    leaseId: () => leaseId,
    validUntil: () => Number.POSITIVE_INFINITY,
    close: async () => Promise.resolve(),
  };
  const role = new SessionLeaderRole({
    name: "fleet",
    entryId: "a",
    store,
    session,
    entries: () => ["a"],
    holder: () => {
      const [found] = engine.range(roleKey);
      if (found === undefined) return undefined;
      return { ...found, value: JSON.parse(found.value) as unknown };
    },
    log: createLog("silent"),
  });
  await role.compete();
  expect(role.isHeld()).toBe(false);
  leaseId = await grantLease();
  expect(await late?.()).toBe("done");
  // The first attempt deletes the record of the lost lease, the next one takes the role.
  await role.compete();
  await role.compete();
  expect(role.isHeld()).toBe(true);
  expect(engine.range(roleKey)).toMatchObject([{ leaseId }]);
});
