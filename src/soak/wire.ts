/**
 * What the soak needs of the wire: the adapter's stand-ins implement it, so that no name of the wire is known here.
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
  /** Cuts all connections and stops. */
  close(): Promise<void>;
}

/** A record as operators and targets write it. */
export interface WrittenRecord {
  readonly key: string;
  /** The value's text. */
  readonly value: string;
}

/** What a caller asks. */
export type SoakRequest =
  | { readonly kind: "submit"; readonly definition: JobDefinition }
  | { readonly kind: "state" }
  | { readonly kind: "cancel" };

/** A request as it is sent. */
export interface EncodedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Where an entry listens and what it connects to; all on the loopback interface. */
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

/** Faults of one target's answers. */
export interface TargetFaults {
  /** Orders bring no answer and are carried out so much later; 0 for none. */
  lateMilliseconds: number;
  /** Hears of each start that is carried out late. */
  readonly onLate?: (task: string, run: number) => void;
}

/** Speaks for the platform. */
export interface SoakWire {
  /** The variable that names an entry's settings file. */
  readonly settingsVariable: string;
  /** Builds the program into a folder and returns the file to run. */
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
