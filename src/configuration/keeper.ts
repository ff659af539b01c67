/**
 * Holds the configuration that is in force in this entry. Its revision never decreases.
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

/** Events of the keeper. */
export interface ConfigurationEvents {
  /** A higher revision came into force in this entry. */
  inForce: AcceptedConfiguration;
}

/** Holds the configuration in force in this entry, with look-ups by name. */
export interface ConfigurationKeeper {
  readonly events: Emittery<ConfigurationEvents>;
  /** The configuration in force; undefined before the first. */
  current(): AcceptedConfiguration | undefined;
  /** The revision in force; 0 before the first. */
  revision(): number;
  /** Finds a service of the configuration in force. */
  service(name: string): ServiceConfiguration | undefined;
  /** Finds an operation of a service by name. */
  operation(service: ServiceConfiguration, name: string): OperationConfiguration | undefined;
  /** Finds a pool of the configuration in force. */
  pool(name: string): PoolConfiguration | undefined;
  /**
   * Puts a configuration in force if its revision is higher than the one in force.
   * @param candidate - decoded record from the store or a peer, not yet checked
   * @returns true if it came into force; false if its revision is not higher or it doesn't match the schema (the latter
   * is logged as an error)
   */
  adopt(candidate: unknown): boolean;
}

/**
 * Creates a keeper without a configuration.
 * @param log - receives an event for each configuration that comes into force and each that cannot be read
 * @returns the keeper
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
 * Adopts each new configuration that a mirror reads from the store.
 * @param keeper - adopts the configurations
 * @param mirror - mirrors a prefix that contains {@link currentConfigurationKey}
 */
export function followStore(keeper: ConfigurationKeeper, mirror: StoreMirror): void {
  mirror.events.on("changed", ({ key, value }) => {
    if (key === currentConfigurationKey) keeper.adopt(value);
  });
}
