/**
 * A renewal call that can be repeated while it has no answer. This handles calls that are lost or carried out seconds
 * late: without a second call, the ends on a target would be received only after the first call's timeout.
 * @packageDocumentation
 */
import type { TargetOrders } from "./target-orders.js";

/** Result of a renewal. */
export type RenewalOutcome = Awaited<ReturnType<TargetOrders["renew"]>>;

/** Result of a renewal with the monotonic time in milliseconds at which its call was sent. */
export interface RequestedRenewal {
  readonly outcome: RenewalOutcome;
  readonly requestSentAt: number;
}

/** Renews at one target, with repeated calls on request. */
export class RepeatedRenewal {
  #requestSentAt: number | undefined;
  #requestAgain: (() => void) | undefined;

  /** Milliseconds since the last unanswered call was sent; 0 while no call is pending. */
  silentMilliseconds(): number {
    return this.#requestSentAt === undefined ? 0 : performance.now() - this.#requestSentAt;
  }

  /** Sends a second call if a renewal is pending. */
  requestAgain(): void {
    this.#requestAgain?.();
  }

  /**
   * Renews, and settles with the first report or refusal: answers to other calls are older or equal.
   * @param send - sends one call; `isAgain` is true for a repeated call
   * @returns the first report or refusal; the last failure once all calls have failed
   */
  async renew(send: (isAgain: boolean) => Promise<RenewalOutcome>): Promise<RequestedRenewal> {
    let unanswered = 0;
    const answer = await new Promise<RequestedRenewal>((resolve, reject) => {
      const call = (isAgain: boolean): void => {
        unanswered += 1;
        const requestSentAt = performance.now();
        this.#requestSentAt = requestSentAt;
        send(isAgain).then((outcome) => {
          unanswered -= 1;
          if (unanswered === 0 || !isUnknown(outcome)) resolve({ outcome, requestSentAt });
        }, reject);
      };
      this.#requestAgain = () => {
        call(true);
      };
      call(false);
    });
    this.#requestAgain = undefined;
    this.#requestSentAt = undefined;
    return answer;
  }
}

function isUnknown(outcome: RenewalOutcome): boolean {
  return outcome.caseOf({ Left: ({ kind }) => kind === "unknown", Right: () => false });
}
