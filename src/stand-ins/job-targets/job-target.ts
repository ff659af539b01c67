/**
 * A stand-in of a target that runs tasks under leases: room, fencing tokens, ends that are kept until acknowledged, orders
 * that are lost or carried out late, restarts under the same identifier. Time is handed in.
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

/** What a task needs and how it behaves, by its name; targets learn it from the spec. */
export interface TaskBehaviour {
  readonly needs: Resources;
  readonly runMilliseconds: number;
  readonly isLasting: boolean;
  readonly fails: boolean;
  /** How long a long-running task starts before it is at work; none by default. */
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
  /** When an order acknowledged the end; it counts only while the target's lease has stood since the end. */
  acknowledgedAt: number | undefined;
}

/** A moment at which the lease of all that a target ran had ended. */
export interface LeaseLapse {
  readonly targetId: string;
  readonly at: number;
}

/** What all targets of a test share. */
export interface JobTargetWorld {
  /** The time, in milliseconds. */
  now(): number;
  readonly behaviour: (task: string) => TaskBehaviour;
  /** Every run so far, for checks. */
  readonly history: RunRecord[];
  /** Every lapse so far, for checks. */
  readonly lapses: LeaseLapse[];
}

/** The longest lease that is given. */
const longestLeaseMilliseconds = 6_000;

/** A target that runs tasks. */
export class JobTarget {
  readonly #world: JobTargetWorld;
  readonly #registered: Omit<RegisteredTarget, "startedAtUnix" | "state">;
  #startedAtUnix: number;
  #startedAt: number;
  #state: RegisteredTarget["state"] = "ready";
  #running = new Map<string, RunningTask>();
  #ended = new Map<string, number>();
  #ends: RunEnd[] = [];
  /** Records of the ends in `#ends` that an acknowledgement still counts for, by sequence. */
  readonly #unacknowledged = new Map<number, RunRecord>();
  #sequence = 0;
  #fence = 0;
  #leaseUntil = 0;
  #holdsLease = false;
  /** Whether nothing reaches it. */
  isSilent = false;
  /** Whether its answers are lost. */
  losesAnswers = false;

  /**
   * Creates a target.
   * @param world - the time, and how tasks behave
   * @param registered - what it tells of itself
   */
  constructor(world: JobTargetWorld, registered: Omit<RegisteredTarget, "startedAtUnix" | "state">) {
    this.#world = world;
    this.#registered = registered;
    this.#startedAt = world.now();
    this.#startedAtUnix = Math.floor(this.#startedAt) + 1;
  }

  /** What it tells the registry. */
  describe(): RegisteredTarget {
    return { ...this.#registered, startedAtUnix: this.#startedAtUnix, state: this.#state };
  }

  /** Announces that it leaves. */
  drain(): void {
    this.#state = "draining";
  }

  /** Crashes: everything that runs ends and no end is kept. */
  crash(): void {
    for (const run of this.#running.values()) this.#close(run, "crashed");
    this.#running.clear();
    this.#unacknowledged.clear();
  }

  /** Crashes and starts again under its identifier; it knows nothing of before. */
  restart(): void {
    this.crash();
    this.#ended.clear();
    this.#ends = [];
    this.#sequence = 0;
    this.#fence = 0;
    this.#leaseUntil = 0;
    this.#holdsLease = false;
    this.#startedAt = this.#world.now();
    this.#startedAtUnix += 1;
  }

  /** Lets time pass: ends what is done and what has lost its lease. */
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

  /** Takes an order to start. */
  start(order: StartOrder): OrderOutcome {
    const refusal = this.#refuse(order) ?? this.#refuseStart(order);
    this.#extend(order.leaseUntilMilliseconds, refusal);
    if (refusal !== undefined) return { kind: "refused", reason: refusal };
    if (this.#running.get(order.task)?.run !== order.run) this.#begin(order);
    return { kind: "done", clockMilliseconds: this.clock() };
  }

  /** Takes an order to stop. */
  stop(order: OrderHeader & { readonly task: string; readonly run: number }): OrderOutcome {
    const refusal = this.#refuse(order);
    if (refusal !== undefined) return { kind: "refused", reason: refusal };
    const running = this.#running.get(order.task);
    if (running !== undefined && running.run <= order.run) this.#end(running, "stopped");
    this.#ended.set(order.task, Math.max(order.run, this.#ended.get(order.task) ?? 0));
    return { kind: "done", clockMilliseconds: this.clock() };
  }

  /** Takes a renewal. */
  renew(order: RenewOrder): Either<Exclude<OrderOutcome, { kind: "done" }>, TargetReport> {
    this.advance();
    const refusal = this.#refuse(order);
    if (refusal !== undefined) return Left({ kind: "refused", reason: refusal });
    this.#extend(order.leaseUntilMilliseconds, undefined);
    this.#acknowledge(order.acknowledgedSequence);
    return Right(this.#report());
  }

  /** Lists what runs and what has ended, with no change to leases or acknowledgements. */
  read(header: OrderHeader): Either<Exclude<OrderOutcome, { kind: "done" }>, TargetReport> {
    this.advance();
    const refusal = this.#refuse(header);
    return refusal === undefined ? Right(this.#report()) : Left({ kind: "refused", reason: refusal });
  }

  /** Its own clock, in milliseconds since its start. */
  clock(): number {
    return this.#world.now() - this.#startedAt;
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
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, this.clock() + longestLeaseMilliseconds));
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
