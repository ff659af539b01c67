import { Left } from "purify-ts";
import { afterEach, describe, expect, it, vi } from "vitest";
import { createPeerNetwork, type PeerNetwork } from "../../membership/index.js";
import { waitUntil } from "../../stand-ins/fleet/index.js";
import { createLog } from "../../telemetry/index.js";
import {
  createDemandCollector,
  createDemandCounter,
  DemandCountingAllocator,
  readDemand,
  type PoolTotals,
} from "../index.js";

const log = createLog("silent");
const pools = [{ name: "quotes", declaredRunSeconds: 0.1 }];
const networks: PeerNetwork[] = [];

afterEach(async () => {
  await Promise.all(networks.splice(0).map(async (network) => network.close()));
});

async function connectTwo(): Promise<[PeerNetwork, PeerNetwork]> {
  const create = (entryId: string): PeerNetwork =>
    createPeerNetwork({ entryId, incarnation: 1, zone: "zone-1" }, log);
  const pair: [PeerNetwork, PeerNetwork] = [create("entry-1"), create("entry-2")];
  networks.push(...pair);
  const ports = await Promise.all(pair.map(async (network) => network.listen("127.0.0.1", 0)));
  const memberList = ports.map((port, index) => ({
    entryId: `entry-${index + 1}`,
    incarnation: 1,
    peerAddress: `127.0.0.1:${port}`,
    zone: "zone-1",
  }));
  for (const network of pair) network.follow(memberList);
  await waitUntil(() => pair.every((network) => network.upPeers().length === 1));
  return pair;
}

describe("demand collector", () => {
  it("adds the demand of all entries and counts a restarted entry from then on", async () => {
    const [holder, other] = await connectTwo();
    const counter = createDemandCounter();
    const remote: PoolTotals = { arrivals: 0, waiting: 0, runs: 0, runMilliseconds: 0 };
    let incarnation = 1;
    other.answer(readDemand, () => ({ incarnation, pools: { quotes: { ...remote } } }));
    const collector = createDemandCollector(holder, counter);
    await collector.collect(pools);
    expect(collector.demand("quotes")).toBeUndefined();
    for (let round = 0; round < 60; round += 1) {
      for (const totals of [counter.totals("quotes"), remote]) {
        totals.arrivals += 5;
        totals.runs += 5;
        totals.runMilliseconds += 5 * 400;
      }
      // After a restart, the totals of the new process must not count as the demand of one collection.
      if (round === 30) incarnation = 2;
      await collector.collect(pools);
    }
    const demand = collector.demand("quotes");
    expect(demand?.meanRunSeconds).toBeGreaterThan(0.38);
    expect(demand?.meanRunSeconds).toBeLessThanOrEqual(0.4);
    expect(demand?.load).toBeGreaterThan(0);
  });
});

describe("a collection at the same time as the one before it", () => {
  it("is left out, and its increase counts at the next one", async () => {
    const [holder] = await connectTwo();
    const counter = createDemandCounter();
    const collector = createDemandCollector(holder, counter);
    const clock = vi.spyOn(performance, "now");
    for (let collection = 0; collection <= 60; collection += 1) {
      clock.mockReturnValue(1_000 * (collection + 1));
      await collector.collect(pools);
      counter.totals("quotes").arrivals += 5;
      await collector.collect(pools);
    }
    clock.mockRestore();
    expect(collector.demand("quotes")?.load).toBeGreaterThan(0);
  });
});

describe("demand counting allocator", () => {
  it("counts a request with a retry once", async () => {
    const counter = createDemandCounter();
    const refusing = {
      acquire: async () =>
        Promise.resolve(Left({ reason: "overloaded" as const, retryAfterMilliseconds: 1 })),
      release: () => undefined,
      inProgress: () => 0,
      close: () => undefined,
    };
    const allocator = new DemandCountingAllocator(refusing, counter);
    const slotRequest = {
      requestId: "request-1",
      pool: "quotes",
      service: "quotes",
      operation: "quote",
      team: "plants",
      urgency: "normal" as const,
      deadlineAt: 0,
    };
    await allocator.acquire({ ...slotRequest, excludedInstances: [] }, new AbortController().signal);
    await allocator.acquire(
      { ...slotRequest, excludedInstances: ["target-1"] },
      new AbortController().signal,
    );
    expect(counter.totals("quotes")).toMatchObject({ arrivals: 1, waiting: 0 });
  });
});
