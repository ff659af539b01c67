/**
 * Decides whether one more instance may stop to serve.
 * @packageDocumentation
 */
import type { OperatorConfiguration } from "../configuration/index.js";
import type { PlacementView, Target } from "../pools/index.js";
import { isOutOfService, type WaveLimits, type WaveRecord } from "./wave-record.js";

/** Decides about starts of drains and of planned moves. */
export interface MaintenanceGate {
  /**
   * Judges a drain of a wave.
   * @param target - the instance
   * @param wave - the wave with the drains that it has recorded
   * @returns why the drain has to wait, or undefined when it may start
   */
  blocksDrain(target: Target, wave: WaveRecord): string | undefined;
  /**
   * Judges a move that a planner wants.
   * @param pool - the pool that loses an instance
   * @returns why the move has to wait, or undefined when it may start
   */
  blocksMove(pool: string): string | undefined;
}

/** What the decision works with. */
export interface MaintenanceGateParts {
  readonly view: PlacementView;
  /** The configuration in force, undefined before the first. */
  readonly text: () => OperatorConfiguration | undefined;
  /** Share of a service's budget that is left; undefined when not all entries' counts are known. */
  readonly budgetLeft: (service: string) => number | undefined;
}

const minimumBudgetShareForMoves = 0.1;

/**
 * Creates the decision.
 * @param parts - what it works with
 * @returns the decision
 */
export function createMaintenanceGate(parts: MaintenanceGateParts): MaintenanceGate {
  const findBudgetReason = (pool: string, minimumShare: number): string | undefined => {
    const services = parts.text()?.services.filter((service) => service.pool === pool) ?? [];
    const blocking = services.find(({ name }) => !((parts.budgetLeft(name) ?? -1) >= minimumShare));
    return blocking === undefined ? undefined : `too little of the budget of ${blocking.name} is left`;
  };

  const findPoolReason = (target: Target, wave: WaveRecord, limits: WaveLimits): string | undefined => {
    const members = parts.view.members(target.pool);
    const out = members.filter(
      ({ instanceId, state }) =>
        state !== "serving" || isOutOfService(wave.instances[instanceId]?.state ?? "pending"),
    );
    const pool = parts.text()?.pools.find(({ name }) => name === target.pool);
    if (pool === undefined) return `pool ${target.pool} is not in the text`;
    if (members.length - out.length - 1 < pool.minimumInstances) {
      return `pool ${target.pool} would fall below its minimum`;
    }
    // A failed instance is lost capacity, which the minimum and the share count; it holds no other zone up.
    const occupied = out.filter(({ instanceId }) => wave.instances[instanceId]?.state !== "failed");
    if (occupied.some(({ zone }) => zone !== target.zone)) {
      return `an instance of pool ${target.pool} is out in another zone`;
    }
    const maximumOut = Math.max(1, Math.floor(members.length * limits.poolShare));
    return out.length + 1 > maximumOut ? `${out.length} instances of pool ${target.pool} are out` : undefined;
  };

  return {
    blocksDrain: (target, wave) =>
      findPoolReason(target, wave, wave.limits) ??
      findBudgetReason(target.pool, wave.limits.minimumBudgetShare),
    blocksMove: (pool) => findBudgetReason(pool, minimumBudgetShareForMoves),
  };
}
