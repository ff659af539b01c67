/**
 * An entry without connections runs no timers.
 * @packageDocumentation
 */
import { afterEach, expect, test, vi } from "vitest";
import { createLog } from "../../telemetry/index.js";
import { createPeerNetwork } from "../index.js";

afterEach(() => {
  vi.useRealTimers();
});

test("a network without links runs no timer, even with many entries in the member list", async () => {
  vi.useFakeTimers();
  const network = createPeerNetwork(
    { entryId: "self", incarnation: 1, zone: "zone" },
    createLog("silent"),
    0,
  );
  const entries = Array.from({ length: 97 }, (_, index) => `entry-${index}`);
  network.follow(
    entries.map((entryId) => ({ entryId, incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" })),
  );
  expect(vi.getTimerCount()).toBe(0);
  vi.useRealTimers();
  await network.close();
});
