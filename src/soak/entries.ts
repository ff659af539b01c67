/**
 * Runs each entry as a child process that can be signalled, stopped and restarted.
 * @packageDocumentation
 */
import { spawn, type ChildProcess } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { delay } from "../shared/index.js";
import type { TcpProxy } from "../stand-ins/index.js";
import type { SoakBounds } from "./bounds.js";
import { readClock } from "./clock.js";
import type { ProcessEvent } from "./history.js";
import type { EntryPorts, SoakWire } from "./wire.js";

/** Options of an entry's process. */
export interface EntryProcessOptions {
  readonly program: string;
  /** Additional Node.js arguments, for example to record a profile. */
  readonly runtimeArguments?: readonly string[] | undefined;
  /** The folder of the settings and log files. */
  readonly folder: string;
  readonly ports: EntryPorts;
  readonly bounds: SoakBounds;
  readonly wire: SoakWire;
  /** The proxy between the entry and the store. */
  readonly storeLink: TcpProxy;
  readonly report: (event: ProcessEvent) => void;
}

const heapArgument = "--max-old-space-size=160";

/** One entry, whose process may end and be restarted. */
export class EntryProcess {
  readonly #options: EntryProcessOptions;
  #child: ChildProcess | undefined;
  #exit: Promise<void> = Promise.resolve();
  #isEndExpected = false;
  #starting: Promise<void> | undefined;

  /**
   * Creates an entry without starting its process.
   * @param options - program, ports, settings and the receiver of process events
   */
  constructor(options: EntryProcessOptions) {
    this.#options = options;
  }

  /** The entry's identifier. */
  get entryId(): string {
    return this.#options.ports.entryId;
  }

  /** The port for callers. */
  get requestPort(): number {
    return this.#options.ports.requests;
  }

  /** The port that serves the metrics. */
  get metricsPort(): number {
    return this.#options.ports.metrics;
  }

  /** The proxy between the entry and the store. */
  get storeLink(): TcpProxy {
    return this.#options.storeLink;
  }

  /** The process identifier; undefined while no process runs. */
  get processId(): number | undefined {
    return this.#child?.pid;
  }

  /** Starts the process unless it is running or starting. */
  async start(): Promise<void> {
    if (this.#child !== undefined) return;
    this.#starting ??= this.#spawn().finally(() => {
      this.#starting = undefined;
    });
    await this.#starting;
  }

  async #spawn(): Promise<void> {
    const { program, folder, wire, runtimeArguments = [] } = this.#options;
    const settingsPath = await this.#writeSettings(this.#options.bounds);
    const log = openSync(join(folder, `${this.entryId}.log`), "a");
    const child = spawn(process.execPath, [heapArgument, ...runtimeArguments, program], {
      env: { PATH: process.env.PATH ?? "", [wire.settingsVariable]: settingsPath },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    this.#child = child;
    this.#isEndExpected = false;
    this.#report("started");
    this.#exit = new Promise((resolve) => {
      child.once("exit", () => {
        this.#child = undefined;
        this.#report("exited");
        resolve();
      });
    });
  }

  /** Kills the process and waits for its exit. */
  async kill(): Promise<void> {
    await this.#starting;
    this.#isEndExpected = true;
    if (this.#child !== undefined) this.#report("killed");
    this.#child?.kill("SIGKILL");
    await this.#exit;
  }

  /** Kills the process without waiting for its exit; for the exit handler of the soak, which can't wait. */
  killWithoutWaiting(): void {
    this.#child?.kill("SIGKILL");
  }

  /** Sends SIGTERM, and SIGKILL if the process hasn't exited within the grace period. */
  async stop(): Promise<void> {
    const child = this.#child;
    if (child === undefined) return;
    this.#isEndExpected = true;
    this.#report("stop-asked");
    child.kill("SIGTERM");
    const grace = new AbortController();
    const graceEnd = delay(this.#options.bounds.graceMilliseconds, grace.signal).then(() => "over" as const);
    const outcome = await Promise.race([graceEnd, this.#exit]);
    grace.abort();
    if (outcome !== "over") return;
    this.#report("grace-over");
    child.kill("SIGKILL");
    await this.#exit;
  }

  /** Suspends the process with SIGSTOP and resumes it after a number of milliseconds. */
  async pause(milliseconds: number): Promise<void> {
    const child = this.#child;
    if (child === undefined) return;
    this.#report("paused");
    child.kill("SIGSTOP");
    await delay(milliseconds);
    child.kill("SIGCONT");
    if (child !== this.#child) return;
    this.#report("resumed");
  }

  /** Writes a changed settings file and sends SIGHUP, so that the process reloads it. */
  async reload(): Promise<void> {
    const { bounds } = this.#options;
    await this.#writeSettings({ ...bounds, noticeMilliseconds: bounds.noticeMilliseconds + 1 });
    this.#report("reload");
    this.#child?.kill("SIGHUP");
  }

  async #writeSettings(bounds: SoakBounds): Promise<string> {
    const { folder, wire, ports } = this.#options;
    const path = join(folder, `${this.entryId}.conf`);
    await writeFile(path, wire.encodeSettings(ports, bounds));
    return path;
  }

  #report(kind: ProcessEvent["kind"]): void {
    const { report } = this.#options;
    report({ entryId: this.entryId, kind, at: readClock(), isExpected: this.#isEndExpected });
  }
}
