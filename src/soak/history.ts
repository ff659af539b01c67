/**
 * The recorded events of callers, targets, machines and processes in a soak. Times are Unix milliseconds of one clock.
 * @packageDocumentation
 */
import type { JobDefinition, JobState } from "../jobs/index.js";
import type { MachineOrder, RunRecord } from "../stand-ins/index.js";

/**
 * How a request ended: with a response, with a connection that was closed or refused, or with a timeout of the caller
 * (`silent`).
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
  /** The HTTP status; 0 without a response. */
  readonly status: number;
  /** The job state in the response, if any. */
  readonly state: JobState | undefined;
}

/** A job that callers submit. */
export interface SoakJob {
  readonly jobId: string;
  readonly queue: string;
  readonly pool: string;
  readonly attempts: number;
  readonly definition: JobDefinition;
}

/** A signal to an entry's process, or its start or exit. */
export interface ProcessEvent {
  readonly entryId: string;
  readonly kind:
    "started" | "stop-asked" | "killed" | "grace-over" | "exited" | "paused" | "resumed" | "reload";
  readonly at: number;
  /** Whether the soak had stopped or killed the process before. */
  readonly isExpected: boolean;
}

/** A fault that was injected. */
export interface FaultRecord {
  readonly name: string;
  readonly subject: string;
  readonly from: number;
  to: number;
  /** Whether the fault is a normal operation, such as a stop, a reload, a configuration change or caller traffic. */
  readonly isPlanned: boolean;
}

/** The downtime of a machine after an order to move or maintain it. */
export interface MachineRecord extends MachineOrder {
  readonly from: number;
  to: number | undefined;
}

/** A maintenance wave and the time at which its stored status was first read as complete. */
export interface WaveRecord {
  readonly wave: number;
  readonly machineIds: readonly string[];
  readonly maximumDown: number;
  completeAt: number | undefined;
}

/** A target that began to drain. */
export interface DrainRecord {
  readonly targetId: string;
  readonly at: number;
}

/** The allocated capacity of one pool at one time. */
export interface PoolSample {
  readonly at: number;
  readonly pool: string;
  readonly totalMillicores: number;
  readonly usedMillicores: number;
  /** The largest free capacity on a single target. */
  readonly largestFreeMillicores: number;
}

/** All records of a soak; the input of the checks. */
export interface SoakHistory {
  readonly jobs: Map<string, SoakJob>;
  readonly runs: RunRecord[];
  /** Runs, as `task#run`, whose start order a target carried out late. */
  readonly lateRuns: Set<string>;
  readonly requests: RequestRecord[];
  readonly processes: ProcessEvent[];
  readonly faults: FaultRecord[];
  readonly machines: MachineRecord[];
  readonly waves: WaveRecord[];
  readonly drains: DrainRecord[];
  readonly samples: PoolSample[];
  startedAt: number;
  /** From this time on no job is submitted and no fault is injected. */
  trafficEndedAt: number;
  endedAt: number;
}

/**
 * Creates an empty history, in which traffic and soak have not ended.
 * @returns a history that the parts of the soak change in place
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
