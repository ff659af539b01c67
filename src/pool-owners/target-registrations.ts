/**
 * Descriptions of targets: those of the registry, and of targets that it does not list.
 * @packageDocumentation
 */
import type { RegisteredTarget } from "../task-runs/index.js";
import type { OwnerState } from "./owner-state.js";
import type { PoolTarget } from "./pool-target.js";

/**
 * Describes a target that is known only from the takeover state.
 * @param pool - the pool
 * @param targetId - the target
 * @param address - where it is called
 * @param startedAtUnix - the start of its process
 * @returns the target, without room for tasks
 */
export function createUnlistedTarget(
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

/**
 * Notes what the registry says of a target whose session is open.
 * @param state - the owner
 * @param known - the target
 * @param target - its newest description
 */
export function updateRegistration(state: OwnerState, known: PoolTarget, target: RegisteredTarget): void {
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
