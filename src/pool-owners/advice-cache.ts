/**
 * Tickets of the outside service that tells which targets may run a step.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { TargetView } from "../scheduling/index.js";
import type { Log } from "../telemetry/index.js";

/** What the service allows. */
export interface Advice {
  /** Tickets by target; targets without one may not run the step. */
  readonly tickets: ReadonlyMap<string, string>;
  readonly validMilliseconds: number;
}

/** Asks the outside service. */
export interface AdviceService {
  /**
   * Asks which targets may run a step.
   * @param stepName - `job.occurrence.step`
   * @param targetIds - the targets that are considered
   * @returns the advice, or why there is none
   */
  requestAdvice(stepName: string, targetIds: readonly string[]): Promise<Either<string, Advice>>;
}

/** Tickets by step. */
export interface AdviceCache {
  /**
   * Looks up the tickets of a step; asks for them when there are none.
   * @param stepKey - the step
   * @param views - the targets that are considered
   * @returns the tickets by target, undefined while they are being asked for
   */
  tickets(stepKey: string, views: readonly TargetView[]): ReadonlyMap<string, string> | undefined;
}

interface Entry {
  readonly tickets: ReadonlyMap<string, string>;
  readonly validUntil: number;
}

/** The service answers one call of an entry after the other, so that more at once only wait there. */
const maximumPendingRequests = 2;
const maximumTargetsPerCall = 30;
/** A ticket is not used in the last part of its time, which a start needs to arrive. */
const ticketMarginMilliseconds = 300;
const retryMilliseconds = 300;

/**
 * Creates an empty book.
 * @param service - the outside service; undefined when the settings name none
 * @param log - takes failures
 * @param onAdvice - called when tickets arrived
 * @returns the book
 */
export function createAdviceCache(
  service: AdviceService | undefined,
  log: Log,
  onAdvice: () => void,
): AdviceCache {
  const entries = new Map<string, Entry>();
  const pendingSteps = new Map<string, number>();

  const requestTickets = async (stepKey: string, targetIds: readonly string[]): Promise<void> => {
    if (service === undefined) return;
    const answer = await service.requestAdvice(stepKey, targetIds);
    answer.caseOf({
      Left: (message) => {
        log.write("warn", "advice-failed", { step: stepKey, message });
      },
      Right: ({ tickets, validMilliseconds }) => {
        const validUntil = performance.now() + validMilliseconds - ticketMarginMilliseconds;
        entries.set(stepKey, { tickets, validUntil });
        log.write("debug", "advice", { step: stepKey, asked: targetIds.length, allowed: tickets.size });
      },
    });
    if (answer.isLeft()) await new Promise((resolve) => setTimeout(resolve, retryMilliseconds));
    pendingSteps.delete(stepKey);
    dropExpired(entries);
    onAdvice();
  };

  return {
    tickets: (stepKey, views) => {
      const entry = entries.get(stepKey);
      if (entry !== undefined && entry.validUntil > performance.now()) return entry.tickets;
      if (!pendingSteps.has(stepKey) && pendingSteps.size < maximumPendingRequests) {
        pendingSteps.set(stepKey, performance.now());
        const byRoom = [...views].sort((left, right) => right.free.cpuMillicores - left.free.cpuMillicores);
        void requestTickets(
          stepKey,
          byRoom.slice(0, maximumTargetsPerCall).map(({ targetId }) => targetId),
        );
      }
      return undefined;
    },
  };
}

function dropExpired(entries: Map<string, Entry>): void {
  const now = performance.now();
  for (const [stepKey, { validUntil }] of entries) if (validUntil <= now) entries.delete(stepKey);
}
