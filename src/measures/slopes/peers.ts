/**
 * Slopes of the links between entries: processor time, bytes and heap by peers, in one process.
 * @packageDocumentation
 */
import { createPeerNetwork, type PeerNetwork } from "../../membership/index.js";
import { delay } from "../../shared/index.js";
import { createLog } from "../../telemetry/index.js";
import type { Figure } from "../measure.js";
import { measureHeap } from "./cost.js";
import { describeSeries, type Point } from "./fit.js";

const sizes = [3, 9, 27] as const;
const settleMilliseconds = 1_500;
const measuredMilliseconds = 3_000;
const millisecondsPerSecond = 1_000;

/**
 * Measures a full mesh of entries at several sizes.
 * @returns the figures, each for one entry by its number of peers
 */
export async function measurePeerSlopes(): Promise<Figure[]> {
  const time: Point[] = [];
  const bytes: Point[] = [];
  const heap: Point[] = [];
  await warmUp();
  for (const entries of sizes) {
    const peers = entries - 1;
    const { value: networks, bytes: held } = await measureHeap(async () => startMesh(entries));
    const sentBefore = sumSent(networks);
    const before = process.cpuUsage();
    await delay(measuredMilliseconds);
    const { user, system } = process.cpuUsage(before);
    time.push({ size: peers, cost: perSecond(user + system) / entries });
    // What one entry sends another one receives.
    const sentAndReceived = (2 * (sumSent(networks) - sentBefore)) / entries;
    bytes.push({ size: peers, cost: (sentAndReceived * millisecondsPerSecond) / measuredMilliseconds });
    heap.push({ size: peers, cost: held / entries });
    await Promise.all(networks.map(async (network) => network.close()));
  }
  return [
    ...describeSeries({ name: "peers, processor time each second", unit: "µs", per: "peer" }, time),
    ...describeSeries(
      { name: "peers, payload sent and heard each second", unit: "bytes", per: "peer" },
      bytes,
    ),
    ...describeSeries({ name: "peers, heap", unit: "bytes", per: "peer" }, heap),
  ];
}

async function warmUp(): Promise<void> {
  const networks = await startMesh(sizes[1]);
  await delay(measuredMilliseconds);
  await Promise.all(networks.map(async (network) => network.close()));
}

async function startMesh(entries: number): Promise<PeerNetwork[]> {
  const log = createLog("silent");
  const names = Array.from({ length: entries }, (_, index) => `entry-${index + 1}`);
  const networks = names.map((entryId) =>
    createPeerNetwork({ entryId, incarnation: 1, zone: "zone-1" }, log),
  );
  const ports = await Promise.all(networks.map(async (network) => network.listen("127.0.0.1", 0)));
  const memberList = names.map((entryId, index) => ({
    entryId,
    incarnation: 1,
    zone: "zone-1",
    peerAddress: `127.0.0.1:${ports[index] ?? 0}`,
  }));
  for (const network of networks) {
    network.report("configurationRevision", () => 1);
    network.follow(memberList);
  }
  await delay(settleMilliseconds);
  return networks;
}

function sumSent(networks: readonly PeerNetwork[]): number {
  return networks.reduce((sum, network) => sum + network.bytesSent(), 0);
}

function perSecond(microseconds: number): number {
  return (microseconds * 1_000) / measuredMilliseconds;
}
