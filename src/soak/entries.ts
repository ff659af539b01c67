/**
 * Entries as processes of their own: started, signalled and started again.
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

/** What an entry's process is started with. */
export interface EntryProcessOptions {
  readonly program: string;
  /** Arguments of the runtime beside its usual ones, such as those that take a profile. */
  readonly runtimeArguments?: readonly string[] | undefined;
  /** Where settings and logs are kept. */
  readonly folder: string;
  readonly ports: EntryPorts;
  readonly bounds: SoakBounds;
  readonly wire: SoakWire;
  /** Between the entry and the store. */
  readonly storeLink: TcpProxy;
  readonly report: (event: ProcessEvent) => void;
}

const heapArgument = "--max-old-space-size=160";

/** One entry; its process may end and start again. */
export class EntryProcess {
  readonly #options: EntryProcessOptions;
  #child: ChildProcess | undefined;
  #exit: Promise<void> = Promise.resolve();
  #isEndExpected = false;
  #starting: Promise<void> | undefined;

  /**
   * Creates an entry whose process is not yet started.
   * @param options - what the process is started with
   */
  constructor(options: EntryProcessOptions) {
    this.#options = options;
  }

  /** Its identifier. */
  get entryId(): string {
    return this.#options.ports.entryId;
  }

  /** Where callers connect. */
  get requestPort(): number {
    return this.#options.ports.requests;
  }

  /** Where its metrics are read. */
  get metricsPort(): number {
    return this.#options.ports.metrics;
  }

  /** The link to the store. */
  get storeLink(): TcpProxy {
    return this.#options.storeLink;
  }

  /** The process's identifier; undefined while there is none. */
  get processId(): number | undefined {
    return this.#child?.pid;
  }

  /** Starts the process unless it runs or is being started. */
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

  /** Kills the process and waits until it is gone. */
  async kill(): Promise<void> {
    await this.#starting;
    this.#isEndExpected = true;
    if (this.#child !== undefined) this.#report("killed");
    this.#child?.kill("SIGKILL");
    await this.#exit;
  }

  /** Kills the process without waiting, for when the soak itself ends. */
  killWithoutWaiting(): void {
    this.#child?.kill("SIGKILL");
  }

  /** Asks the process to stop, and kills it when the grace is over. */
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

  /** Pauses the process for a while. */
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

  /** Changes the settings file and signals the process. */
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
