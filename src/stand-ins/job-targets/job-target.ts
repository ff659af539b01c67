/**
 * A stand-in of a target that runs tasks under leases: capacity, fencing tokens, ends kept until acknowledged, orders
 * that are lost or carried out late, restarts under the same identifier. The clock is passed in.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { Resources } from "../../jobs/index.js";
import { mostEndsListed } from "../../task-runs/index.js";
import type {
  OrderHeader,
  OrderOutcome,
  OrderRefusal,
  PresentRun,
  RegisteredTarget,
  RenewOrder,
  RunEnd,
  RunEndKind,
  StartOrder,
  TargetReport,
} from "../../task-runs/index.js";

interface RunningTask {
  readonly task: string;
  readonly run: number;
  readonly needs: Resources;
  readonly endsAt: number;
  readonly atWorkAt: number;
  readonly isLasting: boolean;
  readonly fails: boolean;
}

/** Resources and behaviour of a task. Tests look it up by the task's name; real targets read it from the spec. */
export interface TaskBehaviour {
  readonly needs: Resources;
  readonly runMilliseconds: number;
  readonly isLasting: boolean;
  readonly fails: boolean;
  /** Start-up time of a long-running task before it reports progress; 0 by default. */
  readonly startMilliseconds?: number;
}

/** An interval in which a task ran. */
export interface RunRecord {
  readonly task: string;
  readonly run: number;
  readonly targetId: string;
  /** The target's pool when the run began. */
  readonly pool: string;
  /** The fencing token of the order that began it. */
  readonly fencingToken: number;
  readonly from: number;
  to: number | undefined;
  how: RunEndKind | "crashed" | undefined;
  /** When an order acknowledged the end; undefined before that, and if the target's lease lapsed after the end. */
  acknowledgedAt: number | undefined;
}

/** A time at which a target's lease, which covers all its runs, had lapsed. */
export interface LeaseLapse {
  readonly targetId: string;
  readonly at: number;
}

/** Clock, task behaviour and records that all targets of a test share. */
export interface JobTargetWorld {
  /** The current time in milliseconds. */
  now(): number;
  readonly behaviour: (task: string) => TaskBehaviour;
  /** Leases are shortened to this length. */
  readonly longestLeaseMilliseconds: number;
  /** Every run so far, for checks. */
  readonly history: RunRecord[];
  /** Every lapse so far, for checks. */
  readonly lapses: LeaseLapse[];
}

/** A simulated target that runs tasks. */
export class JobTarget {
  readonly #world: JobTargetWorld;
  readonly #registered: Omit<RegisteredTarget, "startedAtUnix" | "state">;
  #startedAtUnix: number;
  #startedAt: number;
  /** The start time that the registry shows until the next heartbeat, and when that comes. */
  #registeredAs: { readonly startedAtUnix: number; readonly until: number } | undefined;
  #state: RegisteredTarget["state"] = "ready";
  #running = new Map<string, RunningTask>();
  #ended = new Map<string, number>();
  #ends: RunEnd[] = [];
  /** Records of the ends in `#ends` that can still be acknowledged, by sequence number. */
  readonly #unacknowledged = new Map<number, RunRecord>();
  #sequence = 0;
  #fence = 0;
  #leaseUntil = 0;
  #holdsLease = false;
  /** Whether orders don't reach the target. */
  isSilent = false;
  /** Whether the target's responses are lost. */
  losesAnswers = false;

  /**
   * Creates a target.
   * @param world - clock, task behaviour and records, shared between targets
   * @param registered - the constant fields of its registration
   */
  constructor(world: JobTargetWorld, registered: Omit<RegisteredTarget, "startedAtUnix" | "state">) {
    this.#world = world;
    this.#registered = registered;
    this.#startedAt = world.now();
    this.#startedAtUnix = Date.now();
  }

  /** Returns the target's registration. */
  describe(): RegisteredTarget {
    return { ...this.#registered, startedAtUnix: this.#registeredStart(), state: this.#state };
  }

  /** Marks the target as draining. */
  drain(): void {
    this.#state = "draining";
  }

  /** Crashes the target: all runs end, and their ends aren't kept. */
  crash(): void {
    for (const run of this.#running.values()) this.#close(run, "crashed");
    this.#running.clear();
    this.#unacknowledged.clear();
  }

  /**
   * Crashes the target and restarts it under the same identifier, without any earlier state.
   * @param heartbeatMilliseconds - for how long the registration still names the former process
   */
  restart(heartbeatMilliseconds = 0): void {
    const { startedAtUnix } = this.describe();
    this.#registeredAs = { startedAtUnix, until: this.#world.now() + heartbeatMilliseconds };
    this.crash();
    this.#ended.clear();
    this.#ends = [];
    this.#sequence = 0;
    this.#fence = 0;
    this.#leaseUntil = 0;
    this.#holdsLease = false;
    this.#startedAt = this.#world.now();
    this.#startedAtUnix = Math.max(Date.now(), this.#startedAtUnix + 1);
  }

  /** Ends the runs that are finished by now, and all runs if the lease has lapsed. */
  advance(): void {
    const now = this.#world.now();
    for (const run of [...this.#running.values()]) {
      if (run.endsAt <= now && !run.isLasting) this.#end(run, run.fails ? "failed" : "succeeded");
    }
    if (this.clock() <= this.#leaseUntil) return;
    this.#unacknowledged.clear();
    if (this.#holdsLease) this.#world.lapses.push({ targetId: this.#registered.targetId, at: now });
    this.#holdsLease = false;
    for (const run of [...this.#running.values()]) this.#end(run, "lease-lapsed");
  }

  /** Handles an order to start a run. */
  start(order: StartOrder): OrderOutcome {
    const refusal = this.#refuse(order) ?? this.#refuseStart(order);
    this.#extend(order.leaseUntilMilliseconds, refusal);
    if (refusal !== undefined) return { kind: "refused", reason: refusal };
    if (this.#running.get(order.task)?.run !== order.run) this.#begin(order);
    return { kind: "done", clockMilliseconds: this.clock() };
  }

  /** Handles an order to stop a run. */
  stop(order: OrderHeader & { readonly task: string; readonly run: number }): OrderOutcome {
    const refusal = this.#refuse(order);
    if (refusal !== undefined) return { kind: "refused", reason: refusal };
    const running = this.#running.get(order.task);
    if (running !== undefined && running.run <= order.run) this.#end(running, "stopped");
    this.#ended.set(order.task, Math.max(order.run, this.#ended.get(order.task) ?? 0));
    return { kind: "done", clockMilliseconds: this.clock() };
  }

  /** Handles a lease renewal and returns the report of the target. */
  renew(order: RenewOrder): Either<Exclude<OrderOutcome, { kind: "done" }>, TargetReport> {
    this.advance();
    const refusal = this.#refuse(order);
    if (refusal !== undefined) return Left({ kind: "refused", reason: refusal });
    this.#extend(order.leaseUntilMilliseconds, undefined);
    this.#acknowledge(order.acknowledgedSequence);
    return Right(this.#report());
  }

  /** Returns the report of the target without changing leases or acknowledgements. */
  read(header: OrderHeader): Either<Exclude<OrderOutcome, { kind: "done" }>, TargetReport> {
    this.advance();
    const refusal = this.#refuse(header);
    return refusal === undefined ? Right(this.#report()) : Left({ kind: "refused", reason: refusal });
  }

  /** The target's own clock, in milliseconds since its start. */
  clock(): number {
    return this.#world.now() - this.#startedAt;
  }

  /** The start time in the registration, which the next heartbeat renews. */
  #registeredStart(): number {
    const former = this.#registeredAs;
    if (former === undefined || this.#world.now() >= former.until) return this.#startedAtUnix;
    return former.startedAtUnix;
  }

  #report(): TargetReport {
    const now = this.#world.now();
    const present = [...this.#running.values()].map(({ task, run, atWorkAt }): PresentRun => ({
      task,
      run,
      checkpoint: "",
      percent: now < atWorkAt ? 0 : 100,
      usage: 0,
    }));
    return {
      startedAtUnix: this.#startedAtUnix,
      clockMilliseconds: this.clock(),
      present,
      ends: this.#ends.slice(0, mostEndsListed),
    };
  }

  #acknowledge(upTo: number): void {
    this.#ends = this.#ends.filter(({ sequence }) => sequence > upTo);
    for (const [sequence, record] of this.#unacknowledged) {
      if (sequence > upTo) continue;
      record.acknowledgedAt = this.#world.now();
      this.#unacknowledged.delete(sequence);
    }
  }

  #refuse({ target, fencingToken }: OrderHeader): OrderRefusal | undefined {
    if (target.targetId !== this.#registered.targetId) return "other-instance";
    if (fencingToken < this.#fence) return "fenced";
    this.#fence = fencingToken;
    return undefined;
  }

  #refuseStart({ task, run, leaseUntilMilliseconds }: StartOrder): OrderRefusal | undefined {
    if (leaseUntilMilliseconds <= this.clock()) return "too-late";
    if (this.#running.get(task)?.run === run) return undefined;
    if (run <= (this.#ended.get(task) ?? 0)) return "old-run";
    return this.#hasRoom(this.#world.behaviour(task).needs) ? undefined : "no-room";
  }

  #hasRoom(needs: Resources): boolean {
    const running = [...this.#running.values()];
    const cpu = running.reduce((sum, run) => sum + run.needs.cpuMillicores, needs.cpuMillicores);
    const memory = running.reduce((sum, run) => sum + run.needs.memoryMegabytes, needs.memoryMegabytes);
    const { capacity } = this.#registered;
    return cpu <= capacity.cpuMillicores && memory <= capacity.memoryMegabytes;
  }

  #extend(until: number | undefined, refusal: OrderRefusal | undefined): void {
    if (until === undefined || (refusal !== undefined && refusal !== "old-run" && refusal !== "no-room"))
      return;
    const latest = this.clock() + this.#world.longestLeaseMilliseconds;
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, latest));
    this.#holdsLease ||= this.#leaseUntil > this.clock();
  }

  #begin({ task, run, fencingToken }: StartOrder): void {
    const { needs, runMilliseconds, isLasting, fails, startMilliseconds = 0 } = this.#world.behaviour(task);
    const now = this.#world.now();
    const [endsAt, atWorkAt] = [now + runMilliseconds, now + startMilliseconds];
    this.#running.set(task, { task, run, needs, endsAt, atWorkAt, isLasting, fails });
    const { targetId, pool } = this.#registered;
    const open = { to: undefined, how: undefined, acknowledgedAt: undefined };
    this.#world.history.push({ task, run, targetId, pool, fencingToken, from: now, ...open });
  }

  #end(running: RunningTask, kind: RunEndKind): void {
    this.#running.delete(running.task);
    this.#ended.set(running.task, running.run);
    this.#sequence += 1;
    const { task, run } = running;
    this.#ends.push({ sequence: this.#sequence, task, run, kind, checkpoint: "" });
    const record = this.#close(running, kind);
    if (record !== undefined) this.#unacknowledged.set(this.#sequence, record);
  }

  #close({ task, run }: RunningTask, how: RunEndKind | "crashed"): RunRecord | undefined {
    const { targetId } = this.#registered;
    const record = this.#world.history.find(
      (each) => each.task === task && each.run === run && each.targetId === targetId && each.to === undefined,
    );
    if (record === undefined) return undefined;
    record.to = this.#world.now();
    record.how = how;
    return record;
  }
}
