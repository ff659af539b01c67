/**
 * Measures the bytes that an entry sends to its peers, by the number of entries.
 * @packageDocumentation
 */
import { createPeerNetwork, maximumPeerLinks, type MemberRecord } from "../membership/index.js";
import { delay } from "../shared/index.js";
import { waitUntil } from "../stand-ins/fleet/index.js";
import { createLog } from "../telemetry/index.js";
import type { Figure, Measure } from "./measure.js";

const sizes = [3, 9, 27, 81];
const zones = 4;
const measureMilliseconds = 5_000;
const settleMilliseconds = 1_000;
const connectTimeoutMilliseconds = 20_000;
const millisecondsPerSecond = 1_000;

/** Bytes a second of heartbeats, with the links that an entry keeps. */
export const membershipMeasure: Measure = {
  name: "membership",
  description: "bytes a second that an entry sends to its peers, at 3, 9, 27 and 81 entries",
  run: async () => {
    const figures: Figure[] = [];
    const rates: number[] = [];
    for (const size of sizes) {
      const { bytesPerSecond, connected } = await measureSize(size);
      rates.push(bytesPerSecond);
      figures.push({
        name: `${size} entries`,
        value: bytesPerSecond,
        unit: "bytes/s",
        target: "2000 bytes/s",
      });
      figures.push({
        name: `${size} entries: all chosen links up`,
        value: connected ? 1 : 0,
        unit: "1 is yes",
      });
    }
    const [first = 0, second = 0, third = 0, last = 0] = rates;
    const [three = 0, nine = 0, twentySeven = 0, eightyOne = 0] = sizes;
    const unit = "bytes/s for each entry";
    return [
      ...figures,
      { name: "slope from 3 to 9 entries", value: (second - first) / (nine - three), unit },
      { name: "slope from 9 to 27 entries", value: (third - second) / (twentySeven - nine), unit },
      { name: "slope from 27 to 81 entries", value: (last - third) / (eightyOne - twentySeven), unit },
    ];
  },
};

async function measureSize(size: number): Promise<{ bytesPerSecond: number; connected: boolean }> {
  const log = createLog("silent");
  const networks = await Promise.all(
    Array.from({ length: size }, async (_, index) => {
      const identity = { entryId: `entry-${index}`, incarnation: 1, zone: `zone-${index % zones}` };
      const network = createPeerNetwork(identity, log);
      network.report("configurationRevision", () => 1_000);
      const port = await network.listen("127.0.0.1", 0);
      const record: MemberRecord = { ...identity, peerAddress: `127.0.0.1:${port}` };
      return { network, record };
    }),
  );
  const memberList = networks.map(({ record }) => record);
  for (const { network } of networks) network.follow(memberList);
  const links = Math.min(size - 1, maximumPeerLinks);
  const connected = await waitUntil(
    () => networks.every(({ network }) => network.upPeers().length === links),
    connectTimeoutMilliseconds,
  );
  await delay(settleMilliseconds);
  const sum = (): number => networks.reduce((total, { network }) => total + network.bytesSent(), 0);
  const before = sum();
  const startedAt = performance.now();
  await delay(measureMilliseconds);
  const bytes = sum() - before;
  const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
  await Promise.all(networks.map(async ({ network }) => network.close()));
  return { bytesPerSecond: bytes / seconds / size, connected };
}
