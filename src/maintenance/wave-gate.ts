/**
 * Decides whether one more instance may stop serving.
 * @packageDocumentation
 */
import type { OperatorConfiguration } from "../configuration/index.js";
import type { PlacementView, Target } from "../pools/index.js";
import { isOutOfService, type WaveLimits, type WaveRecord } from "./wave-record.js";

/** Decides whether a drain or a planned move may start. */
export interface MaintenanceGate {
  /**
   * Checks whether a wave may drain an instance.
   * @param target - the instance
   * @param wave - the wave, including the drains that it has already recorded
   * @returns why the drain has to wait; undefined when it may start
   */
  blocksDrain(target: Target, wave: WaveRecord): string | undefined;
  /**
   * Checks whether a planner may move an instance out of a pool.
   * @param pool - the pool that loses an instance
   * @returns why the move has to wait; undefined when it may start
   */
  blocksMove(pool: string): string | undefined;
}

/** Dependencies of the maintenance gate. */
export interface MaintenanceGateParts {
  readonly view: PlacementView;
  /** Returns the configuration in force; undefined before the first. */
  readonly text: () => OperatorConfiguration | undefined;
  /**
   * Returns the share of a service's availability budget that is left; undefined when not all entries' counts are
   * known, which blocks drains and moves.
   */
  readonly budgetLeft: (service: string) => number | undefined;
}

/** Smallest share of a service's budget that must be left for a planned move; a wave sets its own limit for drains. */
const minimumBudgetShareForMoves = 0.1;

/**
 * Creates the maintenance gate.
 * @param parts - placement, configuration and budgets
 * @returns the gate; it keeps no state of its own
 */
export function createMaintenanceGate(parts: MaintenanceGateParts): MaintenanceGate {
  const findBudgetReason = (pool: string, minimumShare: number): string | undefined => {
    const services = parts.text()?.services.filter((service) => service.pool === pool) ?? [];
    const blocking = services.find(({ name }) => !((parts.budgetLeft(name) ?? -1) >= minimumShare));
    return blocking === undefined
      ? undefined
      : `too little of the availability budget of service ${blocking.name} is left`;
  };

  const findPoolReason = (target: Target, wave: WaveRecord, limits: WaveLimits): string | undefined => {
    const members = parts.view.members(target.pool);
    const out = members.filter(
      ({ instanceId, state }) =>
        state !== "serving" || isOutOfService(wave.instances[instanceId]?.state ?? "pending"),
    );
    const pool = parts.text()?.pools.find(({ name }) => name === target.pool);
    if (pool === undefined) return `pool ${target.pool} is not in the configuration`;
    if (members.length - out.length - 1 < pool.minimumInstances) {
      return `pool ${target.pool} would fall below its minimum number of instances`;
    }
    // A failed instance counts as lost capacity for the minimum and the share, but doesn't block work in other zones.
    const occupied = out.filter(({ instanceId }) => wave.instances[instanceId]?.state !== "failed");
    if (occupied.some(({ zone }) => zone !== target.zone)) {
      return `an instance of pool ${target.pool} is out of service in another zone`;
    }
    const maximumOut = Math.max(1, Math.floor(members.length * limits.poolShare));
    return out.length + 1 > maximumOut
      ? `${out.length} instances of pool ${target.pool} are out of service`
      : undefined;
  };

  return {
    blocksDrain: (target, wave) =>
      findPoolReason(target, wave, wave.limits) ??
      findBudgetReason(target.pool, wave.limits.minimumBudgetShare),
    blocksMove: (pool) => findBudgetReason(pool, minimumBudgetShareForMoves),
  };
}
