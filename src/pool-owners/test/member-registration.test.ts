/**
 * An entry's member record when its lease changes while the record is being checked.
 * @packageDocumentation
 */
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  createStoreEngine,
  createStoreFaults,
  MemoryStoreClient,
  type StoreEngine,
} from "../../stand-ins/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import { entryPrefix, MemberRegistration } from "../member-registration.js";

const self = { entryId: "a", incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" };

let engine: StoreEngine;
beforeEach(() => {
  engine = createStoreEngine();
});
afterEach(() => {
  engine.close();
});

// Guards against a record that is bound to a lease which nobody renews, by the check meant to prevent that.
test("a check that began under a lost lease does not replace the record of the present lease", async () => {
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const registration = new MemberRegistration({
    store,
    self,
    listedRevision: () => undefined,
    log: createLog("silent"),
    metrics: createMetrics(),
  });
  const grantLease = async (): Promise<string> => (await store.grantLease(60)).unsafeCoerce().leaseId;
  const [lost, present] = [await grantLease(), await grantLease()];
  await registration.register(lost);
  const get = store.get.bind(store);
  let answer: () => void = () => undefined;
  const answered = new Promise<void>((resolve) => {
    answer = resolve;
  });
  store.get = async (key) => {
    store.get = get;
    await answered;
    return get(key);
  };
  const check = registration.restoreIfReplaced(lost);
  expect(await registration.register(present)).toBe("written");
  answer();
  await check;
  expect(engine.range(`${entryPrefix}a`)).toMatchObject([{ leaseId: present }]);
});
