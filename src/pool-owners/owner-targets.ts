/**
 * The sessions of an owner with the targets of its pool, kept in step with the registry.
 * @packageDocumentation
 */
import { choosePace } from "../scheduling/index.js";
import { TargetSession, type RegisteredTarget, type TargetSessionHandlers } from "../task-runs/index.js";
import { takeoverStatePrefix, type TakeoverState } from "./owner-record.js";
import { removeRun, type OwnerState, type PoolTarget } from "./owner-state.js";
import { formerLeaseMilliseconds } from "./owner-takeover.js";
import { takeReport } from "./run-ends.js";
import { keepUnsettledStarts, refuseLateStarts, takeUnsettledStarts } from "./unsettled-starts.js";

/** How long renewals wait for an end, by what the target runs. */
const idleWaitMilliseconds = 2_000;
const busyWaitMilliseconds = 1_000;
/** Others of a long-running step may move once one that has just started is at work. */
const startingWaitMilliseconds = 200;
/** Best-effort tasks beside long-running tasks are looked at more often. */
const pacedWaitMilliseconds = 400;
const paceTimeoutMilliseconds = 500;
const fullPercent = 100;

/** Settings of an owner's sessions. */
export interface OwnerTargetsOptions {
  readonly leaseMilliseconds: number;
  /** How many owners the pool has had, this one included. */
  readonly ownerCount: number;
}

/** The sessions of an owner with the targets of its pool. */
export class OwnerTargets {
  readonly #state: OwnerState;
  readonly #options: OwnerTargetsOptions;
  readonly #handlers: TargetSessionHandlers;

  /**
   * Creates the sessions of an owner, none open yet.
   * @param state - the owner
   * @param options - leases
   */
  constructor(state: OwnerState, options: OwnerTargetsOptions) {
    this.#state = state;
    this.#options = options;
    this.#handlers = {
      onReport: (session, report, freshEnds, requestSentAt) => {
        const target = this.#find(session);
        if (target === undefined) return;
        takeReport(state, target, report, freshEnds, requestSentAt);
        paceBestEffortTasks(state, target);
      },
      onGone: (session, reason) => {
        const target = this.#find(session);
        if (target === undefined) return;
        this.#drop(target, reason);
        // The next life under the identifier, or a target that was only cut off, gets a session of its own.
        this.follow(state.listedTargets);
      },
      onFenced: () => {
        state.supersede("a target has seen a higher fencing token");
      },
      isActive: () => state.isActive(),
      chooseWait: (session) => chooseWait(this.#find(session)),
    };
  }

  /**
   * Takes the registry's targets of the pool.
   * @param listed - the targets by identifier
   */
  follow(listed: ReadonlyMap<string, RegisteredTarget>): void {
    const state = this.#state;
    state.listedTargets = listed;
    for (const target of listed.values()) this.#followTarget(target);
    for (const { session } of state.targets.values()) session.setListed(listed.has(session.targetId));
    this.#closeUnlisted();
    const targets = [...state.targets.values()];
    if (targets.some(({ isRecorded, session }) => !isRecorded && session.isListed()))
      this.#recordTargets("now");
  }

  /**
   * Opens sessions with targets that an earlier owner used, listed or not.
   * @param takeoverState - what the earlier owner left
   * @param leaseUntil - when its leases have surely ended, by the monotonic clock
   */
  restoreTargets(takeoverState: TakeoverState, leaseUntil: number): void {
    const { pool, awaitedTargets: awaited, targets } = this.#state;
    for (const [targetId, { address, startedAtUnix }] of Object.entries(takeoverState.targets)) {
      awaited.add(targetId);
      this.#open(unlistedTarget(pool, targetId, address, startedAtUnix), leaseUntil);
      targets.get(targetId)?.session.setListed(false);
    }
  }

  /** Closes all sessions. */
  close(): void {
    for (const { session } of this.#state.targets.values()) session.close();
  }

  #find(session: TargetSession): PoolTarget | undefined {
    const target = this.#state.targets.get(session.targetId);
    return target?.session === session ? target : undefined;
  }

  #followTarget(target: RegisteredTarget): void {
    const state = this.#state;
    const known = state.targets.get(target.targetId);
    if (known !== undefined && known.session.target().startedAtUnix >= target.startedAtUnix) {
      noteState(state, known, target);
      return;
    }
    if (known !== undefined) {
      known.session.close();
      this.#drop(known, "replaced");
    }
    this.#open(target, 0);
  }

  #open(target: RegisteredTarget, formerLeaseUntil: number): void {
    const { pool, targets, orders, fencingToken, metrics, log } = this.#state;
    const unsettled = takeUnsettledStarts(this.#state, target.targetId);
    const unsettledUntil = unsettled.length === 0 ? 0 : performance.now() + this.#lateOrderMilliseconds();
    const session = new TargetSession({
      target,
      orders,
      fencingToken,
      leaseMilliseconds: this.#options.leaseMilliseconds,
      metrics,
      handlers: this.#handlers,
      formerLeaseUntil: Math.max(formerLeaseUntil, unsettledUntil),
    });
    const opened: PoolTarget = {
      session,
      runs: new Map(unsettled.map((each) => [each.task.name, each])),
      isRecorded: false,
      isVacating: false,
      blockedUntil: 0,
      failureScore: 0,
      pacePercent: fullPercent,
      handledSequence: 0,
      acknowledging: Promise.resolve(),
    };
    targets.set(target.targetId, opened);
    refuseLateStarts(this.#state, opened);
    log.write("info", "target-session-opened", { pool, target: target.targetId, address: target.address });
    void session.run();
  }

  /** A target that left the registry keeps its session while it runs something, or has ends that are not stored. */
  #closeUnlisted(): void {
    const { targets, awaitedTargets: awaited } = this.#state;
    for (const target of [...targets.values()]) {
      const { session, runs } = target;
      if (session.isListed() || runs.size > 0 || awaited.has(session.targetId)) continue;
      // A next owner has to wait for ends that are not stored.
      if (session.acknowledgedSequence() < target.handledSequence) continue;
      session.close();
      this.#drop(target, "closed");
    }
  }

  /** Forgets a target on which nothing runs any more, so that a next owner does not wait for it. */
  #drop(target: PoolTarget, reason: string): void {
    if (reason === "replaced") keepUnsettledStarts(this.#state, target, this.#lateOrderMilliseconds());
    dropTarget(this.#state, target, reason);
    this.#recordTargets("soon");
  }

  /** An order that is as old as this is carried out no more. */
  #lateOrderMilliseconds(): number {
    return formerLeaseMilliseconds(this.#options.leaseMilliseconds);
  }

  /** Stores which targets may run something, and lets new ones be used once that is stored. */
  #recordTargets(urgency: "now" | "soon"): void {
    const state = this.#state;
    const open = [...state.targets.values()];
    const targets = Object.fromEntries(
      open.map(({ session }) => {
        const { address, startedAtUnix } = session.target();
        return [session.targetId, { address, startedAtUnix }] as const;
      }),
    );
    const value: TakeoverState = { homes: this.#options.ownerCount, targets };
    const write = state.journal.write(`${takeoverStatePrefix}${state.pool}`, value, { urgency });
    void write.result.then((result) => {
      if (result !== "stored") return;
      for (const target of open) target.isRecorded = true;
      state.wake();
    });
  }
}

/** A target that is only known by what an earlier owner left of it. */
function unlistedTarget(
  pool: string,
  targetId: string,
  address: string,
  startedAtUnix: number,
): RegisteredTarget {
  return {
    targetId,
    address,
    startedAtUnix,
    pool,
    availabilityZone: "",
    state: "draining",
    capacity: { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 },
    rack: undefined,
    labels: [],
    remainingMilliseconds: undefined,
  };
}

function noteState(state: OwnerState, known: PoolTarget, target: RegisteredTarget): void {
  if (known.session.target().state !== target.state) {
    state.log.write("info", "target-state", {
      pool: state.pool,
      target: target.targetId,
      state: target.state,
    });
    state.wake();
  }
  known.session.updateTarget(target);
}

function dropTarget(state: OwnerState, target: PoolTarget, reason: string): void {
  const { session, runs } = target;
  state.targets.delete(session.targetId);
  const lost = [...runs.values()];
  for (const each of lost) removeRun(state, target, each);
  state.awaitedTargets.delete(session.targetId);
  state.log.write("info", "target-session-closed", {
    pool: state.pool,
    target: session.targetId,
    reason,
    lostRuns: lost.length,
  });
  state.wake();
}

function chooseWait(target: PoolTarget | undefined): number {
  if (target === undefined || target.runs.size === 0) return idleWaitMilliseconds;
  if (hasStartingLongRunningTasks(target)) return startingWaitMilliseconds;
  return hasBestEffortTasks(target) ? pacedWaitMilliseconds : busyWaitMilliseconds;
}

function hasStartingLongRunningTasks({ runs }: PoolTarget): boolean {
  for (const { task, run } of runs.values()) {
    if (task.definition.isLasting && run.status === "running" && run.percent < fullPercent) return true;
  }
  return false;
}

function hasBestEffortTasks({ runs }: PoolTarget): boolean {
  for (const { task } of runs.values()) if (task.definition.isFiller) return true;
  return false;
}

/** Sets the pace of the best-effort tasks on a target by the tails of the long-running tasks beside them. */
function paceBestEffortTasks(state: OwnerState, target: PoolTarget): void {
  if (!hasBestEffortTasks(target)) return;
  const runs = [...target.runs.values()];
  const bestEffortTasks = runs.filter(
    ({ task, run }) => task.definition.isFiller && run.status === "running",
  );
  if (bestEffortTasks.length === 0) return;
  const tails = runs.flatMap(({ task, run }) => {
    const { goalMilliseconds } = task.definition;
    return goalMilliseconds === undefined ? [] : [{ tailMilliseconds: run.usage, goalMilliseconds }];
  });
  const next = choosePace(target.pacePercent, tails);
  target.pacePercent = next;
  for (const { task, run } of bestEffortTasks) {
    if (run.pacePercent === next) continue;
    const before = run.pacePercent;
    run.pacePercent = next;
    const order = {
      target: target.session.target(),
      fencingToken: state.fencingToken,
      timeoutMilliseconds: paceTimeoutMilliseconds,
      task: task.name,
      run: run.run,
      percent: next,
    };
    void state.orders.pace(order).then((outcome) => {
      if (outcome.kind !== "done" && run.pacePercent === next) run.pacePercent = before;
    });
    state.log.write("info", "run-paced", { task: task.name, target: run.targetId, percent: next });
  }
}
