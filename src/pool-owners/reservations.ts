/**
 * Shows operators which targets are kept free, for which steps, and for how long. The reservations themselves are made anew
 * in each placement round.
 * @packageDocumentation
 */
import type { Log, Metrics } from "../telemetry/index.js";

/** Dependencies of the record of reservations. */
export interface ReservationsOptions {
  readonly pool: string;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** The reserved targets of a step. */
interface Reservation {
  readonly targetIds: ReadonlySet<string>;
  /** When the step's first target was reserved, by the monotonic clock. */
  readonly since: number;
  readonly isLogged: boolean;
}

/** Reservations that last this long are logged; shorter ones are normal while short tasks end. */
const notableMilliseconds = 1_000;
/** The number of targets that a log line names; it counts the others. */
const maximumNamedTargets = 8;

/** The targets that the last placement round kept free, by step. */
export class Reservations {
  readonly #options: ReservationsOptions;
  #current = new Map<string, Reservation>();
  #next = new Map<string, Set<string>>();

  /**
   * Creates an empty record.
   * @param options - the pool, log and metrics
   */
  constructor(options: ReservationsOptions) {
    this.#options = options;
  }

  /**
   * Notes a reservation of the current round.
   * @param stepKey - the step with a long-running task that waits for the target
   * @param targetId - the target
   */
  note(stepKey: string, targetId: string): void {
    const targetIds = this.#next.get(stepKey) ?? new Set();
    this.#next.set(stepKey, targetIds.add(targetId));
  }

  /** Ends a round: logs the steps that have kept targets free for a notable time, and the end of such a time. */
  endRound(): void {
    const now = performance.now();
    const current = new Map<string, Reservation>();
    for (const [stepKey, targetIds] of this.#next)
      current.set(stepKey, this.#continue(stepKey, targetIds, now));
    for (const [stepKey, reservation] of this.#current)
      if (!current.has(stepKey) && reservation.isLogged) this.#logRelease(stepKey, now - reservation.since);
    this.#current = current;
    this.#next = new Map();
    const reserved = new Set([...current.values()].flatMap(({ targetIds }) => [...targetIds]));
    this.#options.metrics.set("targets_reserved", reserved.size, { pool: this.#options.pool });
  }

  #continue(stepKey: string, targetIds: ReadonlySet<string>, now: number): Reservation {
    const { since = now, isLogged = false } = this.#current.get(stepKey) ?? {};
    const isNotable = now - since >= notableMilliseconds;
    if (isNotable && !isLogged) this.#logReservation(stepKey, targetIds);
    return { targetIds, since, isLogged: isLogged || isNotable };
  }

  #logReservation(stepKey: string, targetIds: ReadonlySet<string>): void {
    const { pool, log } = this.#options;
    const targets = [...targetIds].slice(0, maximumNamedTargets).join(",");
    log.write("info", "room-reserved", { step: stepKey, pool, targets, count: targetIds.size });
  }

  #logRelease(stepKey: string, milliseconds: number): void {
    const { pool, log } = this.#options;
    log.write("info", "room-released", { step: stepKey, pool, milliseconds: Math.round(milliseconds) });
  }
}
