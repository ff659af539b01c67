/**
 * A fleet of stand-in targets behind the interface through which owners send orders, with faults on the connection.
 * @packageDocumentation
 */
import { Left } from "purify-ts";
import { createRandom, delay } from "../../shared/index.js";
import type { OrderHeader, OrderOutcome, RenewOrder, TargetOrders } from "../../task-runs/index.js";
import { JobTarget, type JobTargetWorld, type TaskBehaviour } from "./job-target.js";
import { Outages, holdInOutages, type DelayedRestart } from "./outages.js";

/** A fleet of stand-in targets. */
export interface JobFleet {
  readonly targets: ReadonlyMap<string, JobTarget>;
  readonly world: JobTargetWorld;
  readonly orders: TargetOrders;
  /** Lets orders get no response and be carried out after a delay; undefined switches the fault off. */
  setLate(milliseconds: number | undefined): void;
  /** Delays the reading of each response by a random time up to this maximum, as in a busy process. */
  setAnswerDelay(milliseconds: number): void;
  /**
   * Restarts a target, whose new process then carries out the last renewal that was sent to the former one.
   * @param targetId - the target
   * @param afterMilliseconds - when the new process carries it out
   */
  restartWithRenewal(targetId: string, afterMilliseconds: number): void;
  /**
   * Crashes a target, and restarts it later. Orders that are sent to it meanwhile wait, and its new process carries them out.
   * @param targetId - the target
   * @param restart - duration of the outage, and for how long the registration names the former process after it
   */
  restartWithWaitingOrders(targetId: string, restart: DelayedRestart): void;
  close(): void;
}

/** Size of a fleet and behaviour of its tasks. */
export interface JobFleetOptions {
  readonly pool: string;
  readonly targetCount: number;
  readonly coresPerTarget: number;
  readonly behaviour: (task: string) => TaskBehaviour;
  /** The longest lease that the targets grant; 6 s by default. */
  readonly longestLeaseMilliseconds?: number;
}

const defaultLongestLeaseMilliseconds = 6_000;
const advanceMilliseconds = 5;
const millicoresPerCore = 1_000;
const targetsPerRack = 4;
const lostTimeoutMilliseconds = 100;
const answerSeed = 17;

/**
 * Starts a fleet.
 * @param options - size of the fleet and behaviour of its tasks
 * @returns the running fleet, which has to be closed to stop its timer
 */
export function startJobFleet(options: JobFleetOptions): JobFleet {
  const world: JobTargetWorld = {
    now: () => performance.now(),
    behaviour: options.behaviour,
    longestLeaseMilliseconds: options.longestLeaseMilliseconds ?? defaultLongestLeaseMilliseconds,
    history: [],
    lapses: [],
  };
  const targets = createTargets(world, options);
  const outages = new Outages(targets);
  const lastRenewals = new Map<string, RenewOrder>();
  let late: number | undefined;
  let answerDelay = 0;
  const random = createRandom(answerSeed);
  const timer = setInterval(() => {
    for (const target of targets.values()) target.advance();
  }, advanceMilliseconds);

  const send = async (
    { target, timeoutMilliseconds }: OrderHeader,
    carryOut: (target: JobTarget) => OrderOutcome,
  ): Promise<OrderOutcome> => {
    const found = targets.get(target.targetId);
    if (found === undefined) return { kind: "refused", reason: "not-connected" };
    const lost: OrderOutcome = { kind: "unknown", message: "no answer in time" };
    if (late !== undefined) setTimeout(() => carryOut(found), late);
    if (late !== undefined || found.isSilent) {
      await delay(Math.min(lostTimeoutMilliseconds, timeoutMilliseconds));
      return lost;
    }
    await delay(1);
    const outcome = carryOut(found);
    const isRead = await awaitAnswer(timeoutMilliseconds);
    return found.losesAnswers || !isRead ? lost : outcome;
  };
  /** Waits until the response is read; returns false if the order times out before. */
  const awaitAnswer = async (timeoutMilliseconds: number): Promise<boolean> => {
    const readAfter = answerDelay === 0 ? 0 : random.fraction() * answerDelay;
    await delay(Math.min(readAfter, timeoutMilliseconds));
    return readAfter < timeoutMilliseconds;
  };

  return {
    targets,
    world,
    orders: holdInOutages(outages, {
      start: async (order) => send(order, (target) => target.start(order)),
      stop: async (order) => send(order, (target) => target.stop(order)),
      pace: async () => Promise.resolve({ kind: "done", clockMilliseconds: 0 }),
      renew: async (order) => {
        const { targetId } = order.target;
        if (order.leaseUntilMilliseconds !== undefined) lastRenewals.set(targetId, order);
        const found = targets.get(targetId);
        await delay(Math.min(order.waitMilliseconds, renewWaitMilliseconds));
        if (found === undefined) return Left({ kind: "refused", reason: "not-connected" });
        if (found.isSilent) {
          await delay(lostTimeoutMilliseconds);
          return Left({ kind: "unknown", message: "no answer in time" });
        }
        const report = found.renew(order);
        const isRead = await awaitAnswer(order.timeoutMilliseconds);
        return isRead ? report : Left({ kind: "unknown", message: "no answer in time" });
      },
    }),
    setLate: (milliseconds) => {
      late = milliseconds;
    },
    setAnswerDelay: (milliseconds) => {
      answerDelay = milliseconds;
    },
    restartWithRenewal: (targetId, afterMilliseconds) => {
      restartWithOrder(targets.get(targetId), lastRenewals.get(targetId), afterMilliseconds);
    },
    restartWithWaitingOrders: (targetId, restart) => {
      outages.begin(targetId, restart);
    },
    close: () => {
      clearInterval(timer);
    },
  };
}

function restartWithOrder(
  target: JobTarget | undefined,
  renewal: RenewOrder | undefined,
  afterMilliseconds: number,
): void {
  target?.restart();
  if (renewal !== undefined) setTimeout(() => target?.renew(renewal), afterMilliseconds);
}

/** The longest wait of a renewal, even if it requests a longer one, so that tests don't wait. */
const renewWaitMilliseconds = 10;

function createTargets(world: JobTargetWorld, options: JobFleetOptions): Map<string, JobTarget> {
  return new Map(
    Array.from({ length: options.targetCount }, (_, index) => {
      const target = createTarget(world, options, index);
      return [target.describe().targetId, target] as const;
    }),
  );
}

function createTarget(world: JobTargetWorld, options: JobFleetOptions, index: number): JobTarget {
  const rack = `rack-${Math.floor(index / targetsPerRack)}`;
  return new JobTarget(world, {
    targetId: `${options.pool}-${index}`,
    address: `127.0.0.1:${9_000 + index}`,
    pool: options.pool,
    availabilityZone: "zone",
    capacity: {
      cpuMillicores: options.coresPerTarget * millicoresPerCore,
      memoryMegabytes: 64_000,
      accelerators: 0,
    },
    rack,
    labels: ["kind", rack],
    remainingMilliseconds: undefined,
  });
}
