/**
 * A renewal that can be asked for again while it has no answer. Answers calls that are lost on the way or carried out
 * seconds late: without a second one the ends on a target would be received only after the first has run into its timeout.
 * @packageDocumentation
 */
import type { TargetOrders } from "./target-orders.js";

/** What a renewal brought. */
export type RenewalOutcome = Awaited<ReturnType<TargetOrders["renew"]>>;

/** An answer with when it was asked for, by the monotonic clock. */
export interface AskedRenewal {
  readonly outcome: RenewalOutcome;
  readonly askedAt: number;
}

/** Asks a target for a report, and asks again where that is wanted. */
export class RepeatedRenewal {
  #askedAt: number | undefined;
  #askAgain: (() => void) | undefined;

  /** How long the target has not answered since it was last asked, in milliseconds; 0 while nothing is asked. */
  silentMilliseconds(): number {
    return this.#askedAt === undefined ? 0 : performance.now() - this.#askedAt;
  }

  /** Asks again if there is no answer yet. */
  askAgain(): void {
    this.#askAgain?.();
  }

  /**
   * Asks until there is an answer. The first report counts: what others tell is older or the same.
   * @param renew - asks once; told whether it was asked before
   * @returns the first report or refusal; the failure when all that was asked has failed
   */
  async ask(renew: (isAgain: boolean) => Promise<RenewalOutcome>): Promise<AskedRenewal> {
    let unanswered = 0;
    const answer = await new Promise<AskedRenewal>((resolve, reject) => {
      const ask = (isAgain: boolean): void => {
        unanswered += 1;
        const askedAt = performance.now();
        this.#askedAt = askedAt;
        renew(isAgain).then((outcome) => {
          unanswered -= 1;
          if (unanswered === 0 || !isUnknown(outcome)) resolve({ outcome, askedAt });
        }, reject);
      };
      this.#askAgain = () => {
        ask(true);
      };
      ask(false);
    });
    this.#askAgain = undefined;
    this.#askedAt = undefined;
    return answer;
  }
}

function isUnknown(outcome: RenewalOutcome): boolean {
  return outcome.caseOf({ Left: ({ kind }) => kind === "unknown", Right: () => false });
}
