/**
 * Builds histories for the tests of the promises.
 * @packageDocumentation
 */
import type { StepDefinition } from "../../jobs/index.js";
import type { RunRecord } from "../../stand-ins/index.js";
import { soakBounds } from "../bounds.js";
import { createHistory, type MachineRecord, type RequestRecord, type SoakHistory } from "../history.js";
import { findViolations } from "../promises/index.js";

/** The identifier of the job: two steps, the second after the first. */
export const jobId = "00000000000000aa";
/** The task of the job's first step. */
export const firstTask = `${jobId}.0.0.0`;
export const secondTask = `${jobId}.0.1.0`;
/** The end of a history, long after its last event. */
export const endOfHistory = 100_000;

const step: StepDefinition = {
  taskCount: 1,
  resources: { cpuMillicores: 1_000, memoryMegabytes: 1, accelerators: 0 },
  estimateMilliseconds: 100,
  after: [],
  isCheckpointed: false,
  isGang: false,
  prefersOneRack: false,
  allowsCopies: false,
  isLasting: false,
  isFiller: false,
};

/** Creates a history with one accepted job that hasn't run. */
export function historyOf(options: { isLasting?: boolean; isAccepted?: boolean } = {}): SoakHistory {
  const { isLasting = false, isAccepted = true } = options;
  const history = createHistory();
  history.startedAt = 0;
  history.trafficEndedAt = 80_000;
  history.endedAt = endOfHistory;
  const steps = isLasting ? [{ ...step, isLasting }] : [step, { ...step, after: [0] }];
  const definition = { spec: "plain", steps };
  history.jobs.set(jobId, { jobId, queue: "queue-1", pool: "pool-1", attempts: 2, definition });
  if (isAccepted) request(history, { kind: "submit", sentAt: 900, endedAt: 1_000, status: 200 });
  const idle = { pool: "pool-1", totalMillicores: 8_000, usedMillicores: 0, largestFreeMillicores: 8_000 };
  for (let at = 0; at <= endOfHistory; at += 250) history.samples.push({ at, ...idle });
  return history;
}

/** Adds a run. */
export function run(
  history: SoakHistory,
  fields: Partial<RunRecord> & Pick<RunRecord, "task" | "from">,
): void {
  history.runs.push({
    run: 1,
    targetId: "target-1",
    pool: "pool-1",
    fencingToken: 5,
    to: fields.from + 100,
    how: "succeeded",
    acknowledgedAt: undefined,
    ...fields,
  });
}

/** Adds a request. */
export function request(history: SoakHistory, fields: Partial<RequestRecord>): void {
  const { sentAt = 2_000 } = fields;
  history.requests.push({
    jobId,
    kind: "state",
    entryId: "entry-1",
    sentAt,
    deadlineMilliseconds: 3_000,
    endedAt: sentAt + 10,
    end: "answered",
    status: 200,
    state: undefined,
    ...fields,
  });
}

/** Adds successful runs of both tasks, the first with changed fields, and a response with the state complete. */
export function finish(history: SoakHistory, first: Partial<RunRecord> = {}): void {
  run(history, { task: firstTask, from: 1_100, ...first });
  run(history, { task: secondTask, from: 1_300 });
  request(history, { sentAt: 2_000, state: "complete" });
}

/** Adds a maintenance order of wave 1. */
export function maintain(history: SoakHistory, fields: Partial<MachineRecord>): void {
  history.machines.push({
    kind: "maintain",
    machineId: "machine-1",
    holder: "entry-1",
    fencingToken: 3,
    pool: "",
    wave: 1,
    from: 5_000,
    to: 7_000,
    ...fields,
  });
}

/** Adds a fault. */
export function fault(history: SoakHistory, from: number, to: number, isPlanned = false): void {
  history.faults.push({ name: "test", subject: "", from, to, isPlanned });
}

/** Returns the names of the promises that a history breaks. */
export function brokenPromises(history: SoakHistory): string[] {
  return [...new Set(findViolations(history, soakBounds).map(({ promise }) => promise))];
}
