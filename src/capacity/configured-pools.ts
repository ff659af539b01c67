/**
 * Converts pools of the operators' configuration to the planner's input.
 * @packageDocumentation
 */
import type {
  OperatorConfiguration,
  PoolConfiguration,
  ServiceConfiguration,
} from "../configuration/index.js";
import type { CollectedPool } from "./demand-collector.js";
import type { PoolDemand } from "./demand-tracker.js";
import type { PlannedPool } from "./plan-messages.js";

const millisecondsPerSecond = 1_000;

/**
 * Lists the pools whose services have operations, with the mean of the declared run times.
 * @param configuration - the configuration in force
 * @returns the pools; those without operations are left out
 */
export function listCollectedPools(configuration: OperatorConfiguration): CollectedPool[] {
  return configuration.pools.flatMap(({ name }) => {
    const operations = servicesOf(configuration, name).flatMap((service) => service.operations);
    if (operations.length === 0) return [];
    const total = operations.reduce((sum, { expectedMilliseconds }) => sum + expectedMilliseconds, 0);
    return [{ name, declaredRunSeconds: total / operations.length / millisecondsPerSecond }];
  });
}

/**
 * Describes each pool by the strictest objective and the shortest deadline of its services.
 * @param configuration - the configuration in force
 * @param demand - returns the estimated demand of a pool; undefined while it is unknown
 * @returns all configured pools; objective and deadline are 0 for a pool without services
 */
export function describePools(
  configuration: OperatorConfiguration,
  demand: (pool: string) => PoolDemand | undefined,
): PlannedPool[] {
  return configuration.pools.map((pool) =>
    describePool(pool, servicesOf(configuration, pool.name), demand(pool.name)),
  );
}

function describePool(
  pool: PoolConfiguration,
  services: readonly ServiceConfiguration[],
  demand: PoolDemand | undefined,
): PlannedPool {
  const deadlines = services.map(({ deadlineMilliseconds }) => deadlineMilliseconds);
  return {
    name: pool.name,
    spare: pool.spare,
    minimumInstances: pool.minimumInstances,
    slotsPerInstance: pool.slotsPerInstance,
    objective: Math.max(0, ...services.map(({ availability }) => availability.objective)),
    deadlineSeconds: deadlines.length === 0 ? 0 : Math.min(...deadlines) / millisecondsPerSecond,
    demand,
    spentBudgetShare: 0,
  };
}

function servicesOf(configuration: OperatorConfiguration, pool: string): ServiceConfiguration[] {
  return configuration.services.filter((service) => service.pool === pool);
}
