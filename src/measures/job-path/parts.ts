/**
 * Attributes processor time to the parts of a pool owner: samples the running process and counts each sample for the
 * innermost stack frame whose file belongs to a part.
 * @packageDocumentation
 */
import { Session, type Profiler } from "node:inspector";

/** Shares of the busy processor time by part label; they add up to 1. */
export type PartShares = ReadonlyMap<string, number>;

// The first part whose pattern matches the URL of a frame's file counts, so the patterns must follow renames of files.
const parts: readonly (readonly [part: string, files: RegExp])[] = [
  ["callers and targets of the measurement", /\/measures\/|\/stand-ins\//],
  [
    "submission and forecast",
    /\/(owner-forecast|forecast|forecast-margin|admission|demand|first-requests)\.ts$/,
  ],
  ["load of the pool", /\/pool-report\.ts$/],
  [
    "rounds of placing",
    /\/(dispatcher|dispatch-round|placement|job-rank|long-running-moves|target-room)\.ts$/,
  ],
  ["starts and stops", /\/(start-orders|stopper|unsettled-starts)\.ts$/],
  ["reports", /\/(run-ends|owner-targets|job-progress)\.ts$/],
  ["sessions", /\/target-session\.ts$/],
  ["journal", /\/(owner-journal|entry-session)\.ts$/],
  ["log and metrics", /\/telemetry\/|\/consola\/|hdr-histogram/],
  ["ticks and submissions", /\/pool-owner\.ts$/],
];
const sampleMicroseconds = 500;
const garbage = "collection of garbage";
const other = "other";
const notBusy: ReadonlySet<string> = new Set(["(idle)", "(root)"]);

/**
 * Samples the processor use of the process while work runs. The sampling itself takes some processor time.
 * @param work - function to run under the profiler
 * @returns the result of `work`, and the shares of the busy time
 */
export async function sampleParts<Value>(
  work: () => Promise<Value>,
): Promise<{ value: Value; shares: PartShares }> {
  const session = new Session();
  session.connect();
  session.post("Profiler.enable");
  session.post("Profiler.setSamplingInterval", { interval: sampleMicroseconds });
  session.post("Profiler.start");
  const value = await work();
  const profile = await new Promise<Profiler.Profile>((resolve, reject) => {
    session.post("Profiler.stop", (error, found) => {
      if (error === null) resolve(found.profile);
      else reject(error);
    });
  });
  session.disconnect();
  return { value, shares: countShares(profile) };
}

function countShares({ nodes, samples = [] }: Profiler.Profile): PartShares {
  const byId = new Map(nodes.map((node) => [node.id, node] as const));
  const parents = new Map(
    nodes.flatMap(({ id, children = [] }) => children.map((child) => [child, id] as const)),
  );
  const counts = new Map<string, number>();
  let busy = 0;
  for (const sample of samples) {
    if (notBusy.has(byId.get(sample)?.callFrame.functionName ?? "")) continue;
    const part = findPart(sample, byId, parents);
    counts.set(part, (counts.get(part) ?? 0) + 1);
    busy += 1;
  }
  return new Map([...counts].map(([part, count]) => [part, count / busy] as const));
}

function findPart(
  sample: number,
  byId: ReadonlyMap<number, Profiler.ProfileNode>,
  parents: ReadonlyMap<number, number>,
): string {
  if (byId.get(sample)?.callFrame.functionName === "(garbage collector)") return garbage;
  let id: number | undefined = sample;
  while (id !== undefined) {
    const url = byId.get(id)?.callFrame.url ?? "";
    const found = parts.find(([, files]) => files.test(url));
    if (found !== undefined) return found[0];
    id = parents.get(id);
  }
  return other;
}
