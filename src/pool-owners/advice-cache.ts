/**
 * Cache of the tickets that the external advice service issues for the targets which may run a step.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { TargetView } from "../scheduling/index.js";
import type { Log } from "../telemetry/index.js";

/** Response of the advice service for one step. */
export interface Advice {
  /** Tickets by target; targets without a ticket may not run the step. */
  readonly tickets: ReadonlyMap<string, string>;
  readonly validMilliseconds: number;
}

/** Client of the external advice service. */
export interface AdviceService {
  /**
   * Requests tickets for the targets that may run a step.
   * @param stepName - `job.occurrence.step`
   * @param targetIds - the candidate targets
   * @returns the advice, or an error message
   */
  requestAdvice(stepName: string, targetIds: readonly string[]): Promise<Either<string, Advice>>;
}

/** Cached tickets by step. */
export interface AdviceCache {
  /**
   * Looks up the tickets of a step, and requests them from the service when none are valid.
   * @param stepKey - the step
   * @param views - the candidate targets
   * @returns the tickets by target; undefined until the service has responded
   */
  tickets(stepKey: string, views: readonly TargetView[]): ReadonlyMap<string, string> | undefined;
}

interface Entry {
  readonly tickets: ReadonlyMap<string, string>;
  readonly validUntil: number;
}

/** The service handles the calls of an entry one after the other; further concurrent calls would only queue there. */
const maximumPendingRequests = 2;
const maximumTargetsPerCall = 30;
/** A ticket is not used in the last part of its validity, so that it is still valid when the start reaches the target. */
const ticketMarginMilliseconds = 300;
const retryMilliseconds = 300;

/**
 * Creates an empty cache.
 * @param service - the advice service; undefined when the settings name none, in which case there are never any tickets
 * @param log - receives failed requests
 * @param onAdvice - called when a request has ended, also a failed one
 * @returns the cache
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
