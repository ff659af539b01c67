/**
 * Keeps the configuration in force in this entry. Its revision never falls.
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { StoreMirror } from "../store/index.js";
import { parseWith } from "../shared/index.js";
import type { Log } from "../telemetry/index.js";
import { configurationRecordSchema, currentConfigurationKey, type AcceptedConfiguration } from "./record.js";
import type {
  OperationConfiguration,
  PoolConfiguration,
  ServiceConfiguration,
} from "./configuration-schema.js";

/** What the keeper reports. */
export interface ConfigurationEvents {
  /** A higher revision came into force. */
  inForce: AcceptedConfiguration;
}

/** The configuration in force in this entry. */
export interface ConfigurationKeeper {
  readonly events: Emittery<ConfigurationEvents>;
  /** The configuration in force, undefined before the first. */
  current(): AcceptedConfiguration | undefined;
  /** The revision in force, 0 before the first. */
  revision(): number;
  /** Finds a service of the configuration in force. */
  service(name: string): ServiceConfiguration | undefined;
  /** Finds an operation of a service in force. */
  operation(service: ServiceConfiguration, name: string): OperationConfiguration | undefined;
  /** Finds a pool of the configuration in force. */
  pool(name: string): PoolConfiguration | undefined;
  /**
   * Puts a configuration in force if its revision is higher than the one in force.
   * @param candidate - decoded record from the store or a peer
   * @returns whether it came into force
   */
  adopt(candidate: unknown): boolean;
}

/**
 * Creates a keeper.
 * @param log - takes an event for each change
 * @returns the keeper, without a configuration
 */
export function createConfigurationKeeper(log: Log): ConfigurationKeeper {
  const events = new Emittery<ConfigurationEvents>();
  let inForce: AcceptedConfiguration | undefined;
  let services = new Map<string, ServiceConfiguration>();
  let pools = new Map<string, PoolConfiguration>();

  const bringIntoForce = (accepted: AcceptedConfiguration): void => {
    inForce = accepted;
    services = new Map(accepted.text.services.map((service) => [service.name, service]));
    pools = new Map(accepted.text.pools.map((pool) => [pool.name, pool]));
    log.write("info", "configuration-in-force", {
      revision: accepted.revision,
      change: accepted.changeId,
      afterMilliseconds: Date.now() - accepted.acceptedAt,
    });
    void events.emit("inForce", accepted);
  };

  return {
    events,
    current: () => inForce,
    revision: () => inForce?.revision ?? 0,
    service: (name) => services.get(name),
    operation: (service, name) => service.operations.find((operation) => operation.name === name),
    pool: (name) => pools.get(name),
    adopt: (candidate) =>
      parseWith(configurationRecordSchema, candidate).caseOf({
        Left: (faults) => {
          const fault = faults[0];
          log.write("error", "configuration-unreadable", { path: fault?.path, message: fault?.message });
          return false;
        },
        Right: (accepted) => {
          if (accepted.revision <= (inForce?.revision ?? 0)) return false;
          bringIntoForce(accepted);
          return true;
        },
      }),
  };
}

/**
 * Feeds a keeper from a mirror of the store's configuration.
 * @param keeper - the keeper
 * @param mirror - mirror of the configuration's prefix
 */
export function followStore(keeper: ConfigurationKeeper, mirror: StoreMirror): void {
  mirror.events.on("changed", ({ key, value }) => {
    if (key === currentConfigurationKey) keeper.adopt(value);
  });
}
