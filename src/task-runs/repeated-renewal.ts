/**
 * A renewal that can be asked for again while it has no answer. Answers calls that are lost on the way or carried out
 * seconds late: without a second one the ends on a target would be received only after the first has run into its timeout.
 * @packageDocumentation
 */
import type { TargetOrders } from "./target-orders.js";

/** What a renewal brought. */
export type RenewalOutcome = Awaited<ReturnType<TargetOrders["renew"]>>;

/** An answer with when it was asked for, by the monotonic clock. */
export interface RequestedRenewal {
  readonly outcome: RenewalOutcome;
  readonly requestSentAt: number;
}

/** Asks a target for a report, and asks again where that is wanted. */
export class RepeatedRenewal {
  #requestSentAt: number | undefined;
  #requestAgain: (() => void) | undefined;

  /** How long the target has not answered since it was last asked, in milliseconds; 0 while nothing is asked. */
  silentMilliseconds(): number {
    return this.#requestSentAt === undefined ? 0 : performance.now() - this.#requestSentAt;
  }

  /** Asks again if there is no answer yet. */
  requestAgain(): void {
    this.#requestAgain?.();
  }

  /**
   * Asks until there is an answer. The first report counts: what others tell is older or the same.
   * @param renew - asks once; told whether it was asked before
   * @returns the first report or refusal; the failure when all that was asked has failed
   */
  async ask(renew: (isAgain: boolean) => Promise<RenewalOutcome>): Promise<RequestedRenewal> {
    let unanswered = 0;
    const answer = await new Promise<RequestedRenewal>((resolve, reject) => {
      const ask = (isAgain: boolean): void => {
        unanswered += 1;
        const requestSentAt = performance.now();
        this.#requestSentAt = requestSentAt;
        renew(isAgain).then((outcome) => {
          unanswered -= 1;
          if (unanswered === 0 || !isUnknown(outcome)) resolve({ outcome, requestSentAt });
        }, reject);
      };
      this.#requestAgain = () => {
        ask(true);
      };
      ask(false);
    });
    this.#requestAgain = undefined;
    this.#requestSentAt = undefined;
    return answer;
  }
}

function isUnknown(outcome: RenewalOutcome): boolean {
  return outcome.caseOf({ Left: ({ kind }) => kind === "unknown", Right: () => false });
}
