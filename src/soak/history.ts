/**
 * What callers, targets, machines and processes were seen to do in a soak. Times are Unix milliseconds on one clock.
 * @packageDocumentation
 */
import type { JobDefinition, JobState } from "../jobs/index.js";
import type { MachineOrder, RunRecord } from "../stand-ins/index.js";

/**
 * How a request ended: with an answer, with a connection that was cut or refused, or with nothing until the caller gave
 * it up.
 */
export type RequestEnd = "answered" | "cut" | "not-connected" | "silent";

/** One request of a caller. */
export interface RequestRecord {
  readonly jobId: string;
  readonly kind: "submit" | "state" | "cancel";
  readonly entryId: string;
  readonly sentAt: number;
  readonly deadlineMilliseconds: number;
  readonly endedAt: number;
  readonly end: RequestEnd;
  /** The HTTP status; 0 without an answer. */
  readonly status: number;
  /** The state that the answer told, if any. */
  readonly state: JobState | undefined;
}

/** A job that callers handed in. */
export interface SoakJob {
  readonly jobId: string;
  readonly queue: string;
  readonly pool: string;
  readonly attempts: number;
  readonly definition: JobDefinition;
}

/** Something that was done to an entry's process, or that it did. */
export interface ProcessEvent {
  readonly entryId: string;
  readonly kind:
    "started" | "stop-asked" | "killed" | "grace-over" | "exited" | "paused" | "resumed" | "reload";
  readonly at: number;
  /** Whether the soak had asked for the end. */
  readonly isExpected: boolean;
}

/** A fault that was played. */
export interface FaultRecord {
  readonly name: string;
  readonly subject: string;
  readonly from: number;
  to: number;
  /** Stops, reloads and configurations are announced; everything else is not. */
  readonly isPlanned: boolean;
}

/** A machine that an order took down, until it was up again. */
export interface MachineRecord extends MachineOrder {
  readonly from: number;
  to: number | undefined;
}

/** A wave and when its status was first seen as complete. */
export interface WaveRecord {
  readonly wave: number;
  readonly machineIds: readonly string[];
  readonly maximumDown: number;
  completeAt: number | undefined;
}

/** A target that announced that it leaves. */
export interface DrainRecord {
  readonly targetId: string;
  readonly at: number;
}

/** The use of one pool at one time. */
export interface PoolSample {
  readonly at: number;
  readonly pool: string;
  readonly totalMillicores: number;
  readonly usedMillicores: number;
  /** The most that is free on one target. */
  readonly largestFreeMillicores: number;
}

/** Everything that the checks read. */
export interface SoakHistory {
  readonly jobs: Map<string, SoakJob>;
  readonly runs: RunRecord[];
  /** Runs, as `task#run`, whose order a target carried out late. */
  readonly lateRuns: Set<string>;
  readonly requests: RequestRecord[];
  readonly processes: ProcessEvent[];
  readonly faults: FaultRecord[];
  readonly machines: MachineRecord[];
  readonly waves: WaveRecord[];
  readonly drains: DrainRecord[];
  readonly samples: PoolSample[];
  startedAt: number;
  /** From here on no caller hands in, no fault is played. */
  trafficEndedAt: number;
  endedAt: number;
}

/**
 * Creates an empty history.
 * @returns the history
 */
export function createHistory(): SoakHistory {
  return {
    jobs: new Map(),
    runs: [],
    lateRuns: new Set(),
    requests: [],
    processes: [],
    faults: [],
    machines: [],
    waves: [],
    drains: [],
    samples: [],
    startedAt: 0,
    trafficEndedAt: Number.POSITIVE_INFINITY,
    endedAt: Number.POSITIVE_INFINITY,
  };
}
