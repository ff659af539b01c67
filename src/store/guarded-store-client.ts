/**
 * A store client with a rate limit, a circuit breaker, and retries of reads and lease renewals.
 * @packageDocumentation
 */
import { Left, type Either } from "purify-ts";
import { delay, type Random } from "../shared/index.js";
import type { Metrics } from "../telemetry/index.js";
import { createCallBudget, type CallBudget, type CallPurpose } from "./call-budget.js";
import { createCircuitBreaker, type BreakerState, type CircuitBreaker } from "./circuit-breaker.js";
import type {
  ConditionalWrite,
  StoreClient,
  StoreFailure,
  StoreLease,
  StoreListing,
  StoreRecord,
  StoreWatch,
  WatchHandlers,
  WriteResult,
} from "./store.js";

/** Options of the guarded client. */
export interface GuardedStoreClientOptions {
  /** The client that makes the calls. */
  readonly client: StoreClient;
  /** Calls per second that this entry may make, lease renewals included; opening a watch counts as one call. */
  readonly callsPerSecond: number;
  readonly random: Random;
  readonly metrics: Metrics;
}

const maximumReadAttempts = 3;
const firstBackoffMilliseconds = 50;
const budgetWaitMilliseconds = 1_000;

const breakerFailure: StoreFailure = { kind: "unavailable", message: "the circuit breaker is open" };
const budgetFailure: StoreFailure = {
  kind: "over-budget",
  message: "the rate limit of store calls is reached",
};

/** Limits the load that this entry puts on the store, and fails calls fast while the store does not respond. */
export class GuardedStoreClient implements StoreClient {
  readonly #client: StoreClient;
  readonly #budget: CallBudget;
  readonly #breaker: CircuitBreaker;
  readonly #random: Random;
  readonly #metrics: Metrics;

  /**
   * Creates a guarded client.
   * @param options - the client to wrap, its rate limit and the metrics that count the calls
   */
  constructor(options: GuardedStoreClientOptions) {
    this.#client = options.client;
    this.#budget = createCallBudget(options.callsPerSecond);
    this.#breaker = createCircuitBreaker(options.random);
    this.#random = options.random;
    this.#metrics = options.metrics;
    this.#metrics.follow("store_breaker_open", () => (this.#breaker.state() === "closed" ? 0 : 1));
  }

  /**
   * Returns the state of the circuit breaker.
   * @returns `open` while every call is refused
   */
  breakerState(): BreakerState {
    return this.#breaker.state();
  }

  async get(key: string): Promise<Either<StoreFailure, StoreRecord | undefined>> {
    return this.#retry("get", "other", async () => this.#client.get(key));
  }

  async list(prefix: string): Promise<Either<StoreFailure, StoreListing>> {
    return this.#retry("list", "other", async () => this.#client.list(prefix));
  }

  async compareAndSwap(write: ConditionalWrite): Promise<WriteResult> {
    const refused = await this.#admit("compare-and-swap", "other");
    if (refused !== undefined) return { kind: "not-done", failure: refused };
    const startedAt = performance.now();
    const result = await this.#client.compareAndSwap(write);
    const failure = result.kind === "not-done" || result.kind === "unknown" ? result.failure : undefined;
    this.#record("compare-and-swap", startedAt, failure);
    return result;
  }

  async grantLease(ttlSeconds: number): Promise<Either<StoreFailure, StoreLease>> {
    return this.#callOnce("grant-lease", "other", async () => this.#client.grantLease(ttlSeconds));
  }

  async renewLease(leaseId: string): Promise<Either<StoreFailure, boolean>> {
    return this.#retry("renew-lease", "lease", async () => this.#client.renewLease(leaseId));
  }

  async revokeLease(leaseId: string): Promise<Either<StoreFailure, boolean>> {
    return this.#callOnce("revoke-lease", "lease", async () => this.#client.revokeLease(leaseId));
  }

  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): StoreWatch {
    let isOpen = true;
    let openedWatch: StoreWatch | undefined;
    void this.#admit("watch", "other").then((refused) => {
      if (!isOpen) return;
      if (refused === undefined) {
        this.#metrics.count("store_calls_total", { call: "watch", result: "answered" });
        openedWatch = this.#client.watch(prefix, fromRevision, handlers);
      } else {
        handlers.onBroken(refused);
      }
    });
    return {
      close: () => {
        isOpen = false;
        openedWatch?.close();
      },
    };
  }

  async #retry<Output>(
    call: string,
    purpose: CallPurpose,
    action: () => Promise<Either<StoreFailure, Output>>,
  ): Promise<Either<StoreFailure, Output>> {
    let result = await this.#callOnce(call, purpose, action);
    for (let attempt = 1; attempt < maximumReadAttempts && isRetryable(result); attempt += 1) {
      const maximumBackoffMilliseconds = firstBackoffMilliseconds * 2 ** attempt;
      await delay(this.#random.integer(maximumBackoffMilliseconds / 2, maximumBackoffMilliseconds));
      result = await this.#callOnce(call, purpose, action);
    }
    return result;
  }

  async #callOnce<Output>(
    call: string,
    purpose: CallPurpose,
    action: () => Promise<Either<StoreFailure, Output>>,
  ): Promise<Either<StoreFailure, Output>> {
    const refused = await this.#admit(call, purpose);
    if (refused !== undefined) return Left(refused);
    const startedAt = performance.now();
    const result = await action();
    this.#record(call, startedAt, result.swap().orDefault(undefined as never));
    return result;
  }

  /** Returns why a call is refused and counts the refusal; undefined when the call may be made. */
  async #admit(call: string, purpose: CallPurpose): Promise<StoreFailure | undefined> {
    // A half-open breaker needs a call that soon succeeds or fails; a watch may stay open for a long time without
    // either.
    const canProbe = call !== "watch";
    const refused = await this.#findRefusal(purpose, canProbe);
    if (refused !== undefined)
      this.#metrics.count("store_calls_refused_total", { call, reason: refused.kind });
    return refused;
  }

  async #findRefusal(purpose: CallPurpose, canProbe: boolean): Promise<StoreFailure | undefined> {
    if (this.#breaker.state() === "open") return breakerFailure;
    if (!(await this.#budget.take(purpose, budgetWaitMilliseconds))) return budgetFailure;
    if (!canProbe) return this.#breaker.state() === "closed" ? undefined : breakerFailure;
    return this.#breaker.allow() ? undefined : breakerFailure;
  }

  #record(call: string, startedAt: number, failure: StoreFailure | undefined): void {
    this.#breaker.record(failure === undefined);
    this.#metrics.count("store_calls_total", { call, result: failure?.kind ?? "answered" });
    this.#metrics.observe("store_call_milliseconds", performance.now() - startedAt, { call });
  }
}

function isRetryable(result: Either<StoreFailure, unknown>): boolean {
  return result
    .swap()
    .map((failure) => failure !== breakerFailure && failure.kind !== "bad-answer")
    .orDefault(false);
}
