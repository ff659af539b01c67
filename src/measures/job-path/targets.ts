/**
 * Targets that cost next to nothing: they take every start, end each run after its time and answer renewals.
 * @packageDocumentation
 */
import { Right } from "purify-ts";
import type { PresentRun, RegisteredTarget, RunEnd, TargetOrders } from "../../task-runs/index.js";

/** Targets of a measurement. */
export interface MeasuredTargets {
  readonly listed: ReadonlyMap<string, RegisteredTarget>;
  readonly orders: TargetOrders;
  /** When each task was first started, by the monotonic clock. */
  readonly startedAt: ReadonlyMap<string, number>;
}

interface State {
  readonly present: Map<string, PresentRun>;
  ends: RunEnd[];
  sequence: number;
  wake: () => void;
}

/**
 * Creates targets.
 * @param pool - their pool
 * @param count - how many
 * @param coresPerTarget - room of each
 * @param runMilliseconds - how long every task runs
 * @returns the targets
 */
export function createMeasuredTargets(
  pool: string,
  count: number,
  coresPerTarget: number,
  runMilliseconds: number,
): MeasuredTargets {
  const startedAt = new Map<string, number>();
  const states = new Map<string, State>();
  const listed = new Map<string, RegisteredTarget>();
  for (let index = 0; index < count; index += 1) {
    const target = describeTarget(pool, index, coresPerTarget);
    listed.set(target.targetId, target);
    states.set(target.targetId, { present: new Map(), ends: [], sequence: 0, wake: () => undefined });
  }
  const find = (targetId: string): State => {
    const state = states.get(targetId);
    if (state === undefined) throw new Error(`no target ${targetId}`);
    return state;
  };
  const done = { kind: "done", clockMilliseconds: 0 } as const;
  const orders: TargetOrders = {
    start: async ({ target, task, run }) => {
      const state = find(target.targetId);
      state.present.set(task, { task, run, checkpoint: "", percent: 0, usage: 0 });
      if (!startedAt.has(task)) startedAt.set(task, performance.now());
      setTimeout(() => {
        end(state, task, run);
      }, runMilliseconds);
      return Promise.resolve({ ...done, clockMilliseconds: performance.now() });
    },
    stop: async () => Promise.resolve(done),
    pace: async () => Promise.resolve(done),
    renew: async ({ target, acknowledgedSequence, waitMilliseconds }) => {
      const state = find(target.targetId);
      state.ends = state.ends.filter(({ sequence }) => sequence > acknowledgedSequence);
      if (state.ends.length === 0) await waitForEnd(state, waitMilliseconds);
      return Right({
        startedAtUnix: target.startedAtUnix,
        clockMilliseconds: performance.now(),
        present: [...state.present.values()],
        ends: [...state.ends],
      });
    },
  };
  return { listed, orders, startedAt };
}

function end(state: State, task: string, run: number): void {
  state.present.delete(task);
  state.sequence += 1;
  state.ends.push({ sequence: state.sequence, task, run, kind: "succeeded", checkpoint: "" });
  state.wake();
}

async function waitForEnd(state: State, waitMilliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, waitMilliseconds);
    state.wake = () => {
      clearTimeout(timer);
      resolve();
    };
  });
}

function describeTarget(pool: string, index: number, coresPerTarget: number): RegisteredTarget {
  return {
    targetId: `target-${index}`,
    address: "127.0.0.1:1",
    startedAtUnix: 1,
    pool,
    availabilityZone: "zone",
    state: "ready",
    capacity: { cpuMillicores: coresPerTarget * 1_000, memoryMegabytes: 1_000_000, accelerators: 0 },
    rack: `rack-${Math.floor(index / 4)}`,
    labels: [],
    remainingMilliseconds: undefined,
  };
}
