/**
 * On which targets a step may run, where an external service decides that.
 * @packageDocumentation
 */
import type { TargetView } from "../scheduling/index.js";
import type { Advice } from "./advice-service.js";

/** A process of a target. */
export type TargetProcess = Pick<TargetView, "targetId" | "startedAtUnix">;

/** On which targets a step may run. */
export interface StepAccess {
  /** Whether the step may be started on the target now. */
  mayStart(target: TargetProcess): boolean;
  /** Whether the step is known to be allowed on the target, although a start may need a new ticket. */
  isAllowed(target: TargetProcess): boolean;
  /** Whether the step is known not to be allowed on the target. */
  isRefused(target: TargetProcess): boolean;
  /** The ticket that a start on the target carries; undefined where none is needed or none is valid. */
  ticket(target: TargetProcess): string | undefined;
}

/** The access of a step that may run on every target. */
export const unrestrictedAccess: StepAccess = {
  mayStart: () => true,
  isAllowed: () => true,
  isRefused: () => false,
  ticket: () => undefined,
};

/** What the service has said about one process of a target. */
interface TargetAnswer {
  readonly startedAtUnix: number;
  /** Undefined when the step is not allowed on the target. */
  readonly ticket: string | undefined;
  /** When the ticket becomes unusable, by the monotonic clock. */
  readonly validUntil: number;
}

/** A ticket is not used in the last part of its validity, so that it is still valid when the start reaches the target. */
const ticketMarginMilliseconds = 300;
/** Answers about more targets than this many times those present are reviewed. */
const mostAbsentFactor = 2;

/**
 * What the advice service has said about one step. Which targets are allowed does not change while a target's process lives;
 * only the tickets expire.
 */
export class AdvisedAccess implements StepAccess {
  readonly #answers = new Map<string, TargetAnswer>();

  mayStart(target: TargetProcess): boolean {
    return this.ticket(target) !== undefined;
  }

  isAllowed(target: TargetProcess): boolean {
    return this.#find(target)?.ticket !== undefined;
  }

  isRefused(target: TargetProcess): boolean {
    const answer = this.#find(target);
    return answer !== undefined && answer.ticket === undefined;
  }

  ticket(target: TargetProcess): string | undefined {
    const answer = this.#find(target);
    return answer !== undefined && answer.validUntil > performance.now() ? answer.ticket : undefined;
  }

  /**
   * Notes a response of the service.
   * @param asked - the targets that the request named
   * @param advice - the response
   */
  note(asked: readonly TargetProcess[], { tickets, validMilliseconds }: Advice): void {
    const validUntil = performance.now() + validMilliseconds - ticketMarginMilliseconds;
    for (const { targetId, startedAtUnix } of asked)
      this.#answers.set(targetId, { startedAtUnix, ticket: tickets.get(targetId), validUntil });
  }

  /**
   * Forgets targets that have left the pool, once they are the greater part of what is known.
   * @param present - the targets that may be used
   */
  forgetAbsent(present: readonly TargetProcess[]): void {
    if (this.#answers.size <= mostAbsentFactor * present.length) return;
    const ids = new Set(present.map(({ targetId }) => targetId));
    for (const targetId of this.#answers.keys()) if (!ids.has(targetId)) this.#answers.delete(targetId);
  }

  /** Forgets what the service has said about a target, which has rejected its ticket. */
  forget(targetId: string): void {
    this.#answers.delete(targetId);
  }

  #find({ targetId, startedAtUnix }: TargetProcess): TargetAnswer | undefined {
    const answer = this.#answers.get(targetId);
    return answer?.startedAtUnix === startedAtUnix ? answer : undefined;
  }
}
