/**
 * Warnings about settings of the configuration that are valid but unwise.
 * @packageDocumentation
 */
import type { ParseFault } from "../shared/index.js";
import type {
  OperatorConfiguration,
  PoolConfiguration,
  ServiceConfiguration,
} from "./configuration-schema.js";

const millisecondsPerSecond = 1_000;

/**
 * Finds settings that are valid but likely to cause trouble in operation.
 * @param configuration - a configuration that passed {@link checkConfiguration}
 * @returns the warnings, each with the path of the setting; empty when there are none
 */
export function warnAboutConfiguration(configuration: OperatorConfiguration): ParseFault[] {
  return [
    ...configuration.pools.flatMap((pool, index) => warnAboutPool(configuration, pool, `pools[${index}]`)),
    ...configuration.services.flatMap((service, index) =>
      warnAboutService(configuration, service, `services[${index}]`),
    ),
    ...configuration.teams.flatMap(({ name, quota }, index) => {
      if (quota < 1) return [];
      const message = `team "${name}" may hold all slots of a pool while others wait`;
      return [{ path: `teams[${index}].quota`, message }];
    }),
  ];
}

function warnAboutPool(
  configuration: OperatorConfiguration,
  pool: PoolConfiguration,
  path: string,
): ParseFault[] {
  const hasServices = configuration.services.some((service) => service.pool === pool.name);
  if (!hasServices && !pool.spare) {
    return [{ path, message: `no service runs in pool "${pool.name}", and the pool is not spare` }];
  }
  if (hasServices && pool.minimumInstances === 0) {
    const message = `pool "${pool.name}" runs services and may be planned down to zero instances`;
    return [{ path: `${path}.minimumInstances`, message }];
  }
  return [];
}

function warnAboutService(
  configuration: OperatorConfiguration,
  service: ServiceConfiguration,
  path: string,
): ParseFault[] {
  const slow = service.operations.flatMap(({ name, expectedMilliseconds }, index) => {
    if (expectedMilliseconds <= service.deadlineMilliseconds) return [];
    const message = `operation "${name}" is expected to take longer than its service's deadline`;
    return [{ path: `${path}.operations[${index}].expectedMilliseconds`, message }];
  });
  return [...warnAboutBudget(configuration, service, path), ...slow];
}

/**
 * Warns when draining one instance would use up the service's availability budget. A drain lasts up to the deadline and
 * affects one instance's share of the pool.
 */
function warnAboutBudget(
  configuration: OperatorConfiguration,
  service: ServiceConfiguration,
  path: string,
): ParseFault[] {
  const { objective, windowSeconds } = service.availability;
  const budgetSeconds = (1 - objective) * windowSeconds;
  const instances = configuration.pools.find(({ name }) => name === service.pool)?.minimumInstances ?? 0;
  const drainSeconds = service.deadlineMilliseconds / millisecondsPerSecond / Math.max(1, instances);
  if (drainSeconds <= budgetSeconds) return [];
  const message =
    `the budget of ${budgetSeconds.toFixed(1)} s in a window is less than one drain of ` +
    `${drainSeconds.toFixed(1)} s, so no maintenance wave fits into it`;
  return [{ path: `${path}.availability`, message }];
}
