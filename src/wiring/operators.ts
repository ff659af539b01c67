/**
 * Wires the operators' HTTP interface.
 * @packageDocumentation
 */
import type { ConfigurationKeeper, InForceReport } from "../configuration/index.js";
import { createOperatorService, type EntryStatus } from "../operations/index.js";
import type { HttpService } from "../shared/index.js";
import type { CapacityParts } from "./leader-roles.js";
import type { Foundation } from "./foundation.js";
import type { MembershipParts } from "./membership.js";
import type { MaintenanceParts, PlacementParts } from "./placement.js";
import type { RequestPathParts } from "./request-path.js";

/** Components of an entry that the operators' interface exposes. */
export interface EntryParts {
  readonly foundation: Foundation;
  readonly configuration: ConfigurationKeeper;
  readonly membership: MembershipParts;
  readonly rollOut: InForceReport;
  readonly placement: PlacementParts;
  readonly maintenance: MaintenanceParts;
  readonly requestPath: RequestPathParts;
  readonly capacity: CapacityParts;
}

/**
 * Creates the operators' interface.
 * @param parts - components that the interface exposes
 * @returns the HTTP service, not yet listening
 */
export function wireOperators(parts: EntryParts): HttpService {
  const { foundation, configuration, rollOut, placement, maintenance, capacity } = parts;
  return createOperatorService({
    store: foundation.store,
    configuration,
    rollOut,
    placement: placement.commands,
    waves: maintenance.commands,
    budgets: maintenance.budgets,
    capacity: capacity.manager,
    metrics: foundation.metrics,
    token: foundation.settings.operatorToken,
    status: () => readStatus(parts),
  });
}

/**
 * Reads the current state of an entry.
 * @param parts - components of the entry
 * @returns the state as shown to operators
 */
export function readStatus(parts: EntryParts): EntryStatus {
  const { foundation, configuration, membership, placement, requestPath } = parts;
  const { peers } = membership;
  return {
    entryId: foundation.settings.entryId,
    zone: foundation.settings.availabilityZone,
    ready: requestPath.isReady(),
    configuration: { revision: configuration.revision(), changeId: configuration.current()?.changeId },
    peers: peers.peers().map(({ peerId, state }) => ({
      peerId,
      state,
      configurationRevision: peers.reported(peerId, "configurationRevision"),
    })),
    instances: placement.view.all(),
    requestsInProgress: requestPath.ingress.inProgress(),
  };
}
