/**
 * The wire formats that the soak needs. The platform adapter implements them, so that the soak contains no wire names.
 * @packageDocumentation
 */
import type { MaintenanceWave } from "../fleet/index.js";
import type { JobDefinition, JobState, QueueTable } from "../jobs/index.js";
import type { JobTarget, MachineList, StoreEngine, StoreFaults } from "../stand-ins/index.js";
import type { RegisteredTarget } from "../task-runs/index.js";
import type { SoakBounds } from "./bounds.js";

/** A stand-in that listens on the loopback interface. */
export interface RunningService {
  readonly port: number;
  /** Closes all connections and stops listening. */
  close(): Promise<void>;
}

/** A stored record in the encoding of operators and targets. */
export interface WrittenRecord {
  readonly key: string;
  /** The encoded value. */
  readonly value: string;
}

/** A request of a caller before it is encoded. */
export type SoakRequest =
  | { readonly kind: "submit"; readonly definition: JobDefinition }
  | { readonly kind: "state" }
  | { readonly kind: "cancel" };

/** An encoded HTTP request. */
export interface EncodedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** The ports that an entry listens on, and those of the store and the machine service; all on the loopback interface. */
export interface EntryPorts {
  readonly entryId: string;
  readonly availabilityZone: string;
  readonly requests: number;
  readonly readiness: number;
  readonly peers: number;
  readonly metrics: number;
  readonly store: number;
  readonly machines: number;
}

/** Faults of one target's service. */
export interface TargetFaults {
  /** Orders get no response and are carried out after this delay; 0 switches the fault off. */
  lateMilliseconds: number;
  /** Called for each start order that is carried out late. */
  readonly onLate?: (task: string, run: number) => void;
  /** Whether the target has no process: a call that still reaches it gets no response. */
  isDown?: boolean;
  /** While set, calls wait for it; then the process that runs carries them out, even if their callers have gone. */
  heldCalls?: Promise<void> | undefined;
  /** While set, responses wait for it. */
  heldAnswers?: Promise<void> | undefined;
}

/** Encodes, decodes and serves the platform's wire formats. */
export interface SoakWire {
  /** The environment variable with the path of an entry's settings file. */
  readonly settingsVariable: string;
  /** Builds the program into a folder and returns the path of the file to run. */
  buildProgram(folder: string): Promise<string>;
  encodeSettings(ports: EntryPorts, bounds: SoakBounds): string;
  serveStore(engine: StoreEngine, faults: StoreFaults): Promise<RunningService>;
  serveTarget(target: JobTarget, faults: TargetFaults): Promise<RunningService>;
  serveMachines(machines: MachineList): Promise<RunningService>;
  encodeTarget(target: RegisteredTarget, heartbeat: number): WrittenRecord;
  encodeConfiguration(table: QueueTable): WrittenRecord;
  encodeWave(wave: MaintenanceWave): WrittenRecord;
  waveStatusKey(wave: number): string;
  isWaveComplete(value: string): boolean;
  encodeRequest(
    question: SoakRequest,
    jobId: string,
    pathPrefix: string,
    deadlineMilliseconds: number,
  ): EncodedRequest;
  decodeState(body: string): JobState | undefined;
}
