/**
 * Checks that the stored takeover state of a pool lists every target on which a run of the pool is present or about to be
 * started. The next owner knows of no other target, whenever the present one goes.
 * @packageDocumentation
 */
import { jobPrefix } from "../../jobs/index.js";
import type { JobFleet, StoreEngine } from "../../stand-ins/index.js";
import type { EngineChange } from "../../stand-ins/store/engine.js";
import { prefixEnd } from "../../store/etcd-messages.js";
import type { StartOrder, TargetOrders } from "../../task-runs/index.js";
import { decodeTakeoverState, takeoverStatePrefix, type TakeoverState } from "../owner-record.js";

/** A run on a target, or one that is about to be started there. */
interface CheckedRun {
  readonly task: string;
  readonly run: number;
  readonly targetId: string;
}

/** Compares the stored takeover states with the runs on the targets. */
export class StoredTargetsCheck {
  readonly #fleets: ReadonlyMap<string, JobFleet>;
  /** The stored takeover states, by pool. */
  readonly #states = new Map<string, TakeoverState>();
  /** The store revisions of the records of jobs, by job id. */
  readonly #jobRevisions = new Map<string, number>();
  readonly #violations = new Set<string>();
  readonly #watches: readonly (() => void)[];

  /**
   * Begins to check after each write of a takeover state.
   * @param engine - the store
   * @param fleets - the targets, by pool
   */
  constructor(engine: StoreEngine, fleets: ReadonlyMap<string, JobFleet>) {
    this.#fleets = fleets;
    const watch = (prefix: string, note: (name: string, change: EngineChange) => void): (() => void) =>
      engine.watch(prefix, prefixEnd(prefix), 0, (change) => {
        note(change.key.slice(prefix.length), change);
      });
    this.#watches = [
      watch(takeoverStatePrefix, (name, { value, revision }) => {
        const stored: unknown = value === undefined ? undefined : JSON.parse(value);
        this.#states.set(name, decodeTakeoverState(stored, revision));
        this.check();
      }),
      watch(jobPrefix, (jobId, { value, revision }) => {
        if (value === undefined) this.#jobRevisions.delete(jobId);
        else this.#jobRevisions.set(jobId, revision);
      }),
    ];
  }

  /**
   * Checks each start when it is sent.
   * @param orders - sends the orders
   * @returns the same orders with the check
   */
  watch(orders: TargetOrders): TargetOrders {
    return {
      start: async (order) => {
        this.#checkStart(order);
        return orders.start(order);
      },
      stop: async (order) => orders.stop(order),
      pace: async (order) => orders.pace(order),
      renew: async (order) => orders.renew(order),
    };
  }

  /** Checks the runs that are present. */
  check(): void {
    for (const [name, { world }] of this.#fleets) {
      const present = world.history.filter(({ to }) => to === undefined);
      // The next owner waits for any target then.
      const coversAll = this.#states.get(name)?.isIncomplete === true;
      if (present.length === 0 || coversAll) continue;
      for (const run of present) this.#note("runs", run, this.#findOmission(name, run));
    }
  }

  /**
   * Returns what was found so far.
   * @returns descriptions of the runs that a next owner would not have known to be possible; empty when there were none
   */
  violations(): readonly string[] {
    return [...this.#violations];
  }

  /** Ends the checks. */
  close(): void {
    for (const unwatch of this.#watches) unwatch();
  }

  #checkStart({ task, run, target: { targetId } }: StartOrder): void {
    const name = [...this.#fleets].find(([, { targets }]) => targets.has(targetId))?.[0];
    if (name === undefined) return;
    const started = { task, run, targetId };
    this.#note("was started", started, this.#findOmission(name, started));
  }

  #note(what: string, { task, run, targetId }: CheckedRun, omission: string | undefined): void {
    if (omission !== undefined) this.#violations.add(`${task}/${run} ${what} on ${targetId}, ${omission}`);
  }

  /** Finds why a next owner would not wait for a run; undefined if it would. */
  #findOmission(name: string, { task, targetId }: CheckedRun): string | undefined {
    const stored = this.#states.get(name)?.targets[targetId];
    if (stored === undefined) return "which the takeover state does not list";
    // Undefined once the job's record is deleted.
    const revision = this.#jobRevisions.get(task.split(".")[0] ?? "");
    const { unusedSince } = stored;
    if (unusedSince === undefined || revision === undefined || revision <= unusedSince) return undefined;
    return `which the takeover state lists as unused since ${unusedSince}, before the job at ${revision}`;
  }
}
