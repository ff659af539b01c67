/**
 * Simulated callers: they keep connections to every entry, submit jobs with retries, poll job states and cancel jobs.
 * @packageDocumentation
 */
import http from "node:http";
import { isFinalState, type JobState } from "../jobs/index.js";
import { delay, type Random } from "../shared/index.js";
import { readClock } from "./clock.js";
import type { EntryProcess } from "./entries.js";
import type { RequestEnd, RequestRecord, SoakHistory, SoakJob } from "./history.js";
import type { SoakRequest, SoakWire } from "./wire.js";

/** Dependencies of the callers. */
export interface CallersOptions {
  readonly wire: SoakWire;
  readonly entries: readonly EntryProcess[];
  readonly history: SoakHistory;
  readonly random: Random;
}

/** The requests that callers send for one job. */
export interface CallerPlan {
  readonly job: SoakJob;
  /** Delay of the cancellation after the acceptance; undefined if the job isn't cancelled. */
  readonly cancelAfterMilliseconds: number | undefined;
  /** Delay of a second submission after the acceptance; undefined for none. */
  readonly resubmitAfterMilliseconds: number | undefined;
}

/** The host name under which all queues of a soak are configured. */
export const soakHost = "jobs.example";
const deadlineMilliseconds = 3_000;
/** A caller closes a request without a response this long after the deadline that it sent. */
const timeoutSlackMilliseconds = 500;
const connectionsPerEntry = 64;
const maximumRefusals = 4;
const maximumSends = 10;
const refusalRetryMilliseconds = 1_000;
const retryMilliseconds = 150;
const shortestPollMilliseconds = 500;
const longestPollMilliseconds = 1_500;
const statusesWithoutEffect = new Set([404, 429, 503]);
const statusGone = 410;

/** Submits jobs and records every request in the history. */
export class Callers {
  readonly #options: CallersOptions;
  readonly #agents = new Map<string, http.Agent>();

  /**
   * Creates callers.
   * @param options - the entries, and the history that requests are recorded in
   */
  constructor(options: CallersOptions) {
    this.#options = options;
    for (const { entryId } of options.entries) {
      this.#agents.set(entryId, new http.Agent({ keepAlive: true, maxSockets: connectionsPerEntry }));
    }
  }

  /** Submits a job, then polls, cancels and resubmits it as planned. Returns when the job or the soak has ended. */
  async runPlan({
    job,
    cancelAfterMilliseconds,
    resubmitAfterMilliseconds: repeatAfterMilliseconds,
  }: CallerPlan): Promise<void> {
    this.#options.history.jobs.set(job.jobId, job);
    if (!(await this.#submit(job))) return;
    const followUps = [this.#pollState(job)];
    if (cancelAfterMilliseconds !== undefined) followUps.push(this.#cancel(job, cancelAfterMilliseconds));
    if (repeatAfterMilliseconds !== undefined) followUps.push(this.#resubmit(job, repeatAfterMilliseconds));
    await Promise.all(followUps);
  }

  /** Closes all connections. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
  }

  async #submit(job: SoakJob): Promise<boolean> {
    const question: SoakRequest = { kind: "submit", definition: job.definition };
    let refusalCount = 0;
    for (let sendCount = 0; sendCount < maximumSends && !this.#hasSoakEnded(); sendCount += 1) {
      const { status } = await this.#sendRequest(job, question);
      if (status >= 200 && status < 300) return true;
      if (statusesWithoutEffect.has(status)) {
        refusalCount += 1;
        if (refusalCount >= maximumRefusals) return false;
        await delay(refusalRetryMilliseconds);
      } else await delay(retryMilliseconds);
    }
    return false;
  }

  async #pollState(job: SoakJob): Promise<void> {
    const { random } = this.#options;
    let state: JobState | undefined;
    while (!this.#hasSoakEnded() && (state === undefined || !isFinalState(state))) {
      await delay(random.integer(shortestPollMilliseconds, longestPollMilliseconds));
      state = (await this.#sendRequest(job, { kind: "state" })).state ?? state;
    }
  }

  async #cancel(job: SoakJob, afterMilliseconds: number): Promise<void> {
    await delay(afterMilliseconds);
    while (!this.#hasSoakEnded()) {
      const { status } = await this.#sendRequest(job, { kind: "cancel" });
      if (status === statusGone || (status >= 200 && status < 300)) return;
      await delay(retryMilliseconds);
    }
  }

  async #resubmit(job: SoakJob, afterMilliseconds: number): Promise<void> {
    await delay(afterMilliseconds);
    if (!this.#hasSoakEnded()) await this.#sendRequest(job, { kind: "submit", definition: job.definition });
  }

  #hasSoakEnded(): boolean {
    return readClock() >= this.#options.history.endedAt;
  }

  async #sendRequest(job: SoakJob, question: SoakRequest): Promise<RequestRecord> {
    const { entries, history, random, wire } = this.#options;
    const entry = entries[random.integer(0, entries.length - 1)];
    if (entry === undefined) throw new Error("the soak has no entries");
    const sentAt = readClock();
    const answer = await this.#sendHttp(entry, job, question);
    const record: RequestRecord = {
      jobId: job.jobId,
      kind: question.kind,
      entryId: entry.entryId,
      sentAt,
      deadlineMilliseconds,
      endedAt: readClock(),
      end: answer.end,
      status: answer.status,
      state: question.kind === "state" && answer.status === 200 ? wire.decodeState(answer.body) : undefined,
    };
    history.requests.push(record);
    return record;
  }

  async #sendHttp(entry: EntryProcess, job: SoakJob, question: SoakRequest): Promise<HttpResult> {
    const agent = this.#agents.get(entry.entryId);
    const prefix = `/${job.queue}/`;
    const encoded = this.#options.wire.encodeRequest(question, job.jobId, prefix, deadlineMilliseconds);
    const { method, path, headers, body } = encoded;
    return new Promise((resolve) => {
      const request = http.request({
        host: "127.0.0.1",
        port: entry.requestPort,
        agent,
        method,
        path,
        headers: { ...headers, host: soakHost, "content-length": String(Buffer.byteLength(body)) },
      });
      const finish = (answer: HttpResult): void => {
        clearTimeout(timer);
        resolve(answer);
      };
      const timer = setTimeout(() => {
        finish(resultWithoutAnswer("silent"));
        request.destroy();
      }, deadlineMilliseconds + timeoutSlackMilliseconds);
      request.on("error", ({ code }: NodeJS.ErrnoException) => {
        finish(resultWithoutAnswer(code === "ECONNREFUSED" ? "not-connected" : "cut"));
      });
      request.on("response", (response) => {
        readResponse(response, finish);
      });
      request.end(body);
    });
  }
}

interface HttpResult {
  readonly end: RequestEnd;
  readonly status: number;
  readonly body: string;
}

function resultWithoutAnswer(end: RequestEnd): HttpResult {
  return { end, status: 0, body: "" };
}

function readResponse(response: http.IncomingMessage, finish: (answer: HttpResult) => void): void {
  const chunks: Buffer[] = [];
  response.on("data", (chunk: Buffer) => chunks.push(chunk));
  response.on("end", () => {
    const body = Buffer.concat(chunks).toString("utf8");
    finish({ end: "answered", status: response.statusCode ?? 0, body });
  });
  response.on("close", () => {
    // After a complete response the promise is already resolved, so this has no effect.
    finish(resultWithoutAnswer("cut"));
  });
}
