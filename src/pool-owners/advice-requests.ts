/**
 * Sends the requests of all owners of this process to the advice service. The service handles the requests of one process
 * one after another and rejects them once too many are waiting, so that further ones wait here.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { AdviceTiming } from "../jobs/index.js";
import type { Advice, AdviceService } from "./advice-service.js";

/** The second one arrives while the service handles the first, so that the service does not idle between them. */
const maximumInFlight = 2;
/** Added to the time that the service needs, for the network and a busy process. */
const answerMarginMilliseconds = 1_000;

/** Requests to the advice service, in the order in which they were made. */
export class AdviceRequests {
  readonly #service: AdviceService;
  /** Time that the service needs for the requests in flight. */
  #inFlightMilliseconds = 0;
  #inFlight = 0;
  readonly #waiting: (() => void)[] = [];

  /**
   * Creates an empty queue of requests.
   * @param service - the service
   */
  constructor(service: AdviceService) {
    this.#service = service;
  }

  /**
   * Requests tickets for the targets that may run a step, once the earlier requests of this process leave room for it.
   * @param stepName - `job.occurrence.step`
   * @param targetIds - the candidate targets
   * @param timing - how long the service takes for a request
   * @returns the advice, or an error message
   */
  async request(
    stepName: string,
    targetIds: readonly string[],
    timing: AdviceTiming,
  ): Promise<Either<string, Advice>> {
    if (this.#inFlight >= maximumInFlight)
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    const needed = timing.baseMilliseconds + timing.perTargetMilliseconds * targetIds.length;
    this.#inFlight += 1;
    this.#inFlightMilliseconds += needed;
    // The service first handles the requests that are in flight already.
    const timeoutMilliseconds = this.#inFlightMilliseconds + answerMarginMilliseconds;
    try {
      return await this.#service.requestAdvice(stepName, targetIds, timeoutMilliseconds);
    } finally {
      this.#inFlight -= 1;
      this.#inFlightMilliseconds -= needed;
      this.#waiting.shift()?.();
    }
  }
}
