/**
 * Wires the leader roles: placement, maintenance and capacity.
 * @packageDocumentation
 */
import { Left } from "purify-ts";
import { createCapacityManager, type CapacityManager } from "../capacity/index.js";
import type { ConfigurationKeeper, OperatorConfiguration } from "../configuration/index.js";
import { createLeaderRole, type LeaderRole } from "../membership/index.js";
import { createInstanceList } from "../store/index.js";
import { createAdoption, createMover, type PlacementCommands } from "../pools/index.js";
import type { Foundation } from "./foundation.js";
import type { MembershipParts } from "./membership.js";
import type { MaintenanceParts, PlacementParts } from "./placement.js";
import type { RequestPathParts } from "./request-path.js";

const leaderRolePeriodMilliseconds = 200;
const maintenancePeriodMilliseconds = 1_000;
const capacityPeriodMilliseconds = 1_000;

/**
 * Starts to compete for the leader roles `placement` and `maintenance`.
 * @param foundation - settings, store and log
 * @param configuration - the configuration in force
 * @param membership - the other entries
 * @param placement - the instances
 * @param maintenance - waves and budgets
 * @param requestPath - counts this entry's requests in progress on an instance
 * @returns the leader roles; each must be closed or abandoned
 */
export function wireLeaderRoles(
  foundation: Foundation,
  configuration: ConfigurationKeeper,
  { peers, self }: MembershipParts,
  { view, writer, entries }: PlacementParts,
  { budgets, runner }: MaintenanceParts,
  { allocator }: RequestPathParts,
): LeaderRole[] {
  const { log, store, settings } = foundation;
  const { entryId } = self;
  const operatorConfiguration = (): OperatorConfiguration | undefined => configuration.current()?.text;
  const mover = createMover({
    entryId,
    view,
    writer,
    peers,
    entries,
    log,
    text: operatorConfiguration,
    now: Date.now,
    inProgress: (instanceId) => allocator.inProgress(instanceId),
  });
  const instanceList = createInstanceList(settings.instanceList.address);
  const adoption = createAdoption({
    instanceList,
    view,
    writer,
    log,
    text: operatorConfiguration,
    now: Date.now,
  });
  const placementLeaderRole = createLeaderRole({
    store,
    name: "placement",
    entryId,
    log,
    periodMilliseconds: leaderRolePeriodMilliseconds,
    step: async () => {
      await adoption.step();
      await mover.step();
    },
  });
  const maintenanceLeaderRole = createLeaderRole({
    store,
    name: "maintenance",
    entryId,
    log,
    periodMilliseconds: maintenancePeriodMilliseconds,
    step: async () => {
      await budgets.refresh();
      await runner.step();
    },
  });
  return [placementLeaderRole, maintenanceLeaderRole];
}

/** The capacity manager and the leader role that runs it. */
export interface CapacityParts {
  readonly manager: CapacityManager;
  readonly leaderRole: LeaderRole;
}

/**
 * Creates the capacity manager and starts to compete for its leader role.
 * @param foundation - settings, store and log
 * @param configuration - the configuration in force
 * @param membership - the other entries
 * @param placement - the instances
 * @param maintenance - blocks moves while a budget is low
 * @param requestPath - counts the demand
 * @returns the parts
 */
export function wireCapacity(
  { log, store, settings }: Foundation,
  configuration: ConfigurationKeeper,
  { peers, self }: MembershipParts,
  { view, commands }: PlacementParts,
  { budgets, gate }: MaintenanceParts,
  { demand }: RequestPathParts,
): CapacityParts {
  const { entryId, incarnation } = self;
  const move: PlacementCommands["move"] = async (instanceId, pool, changeId) => {
    const blocked = gate.blocksMove(view.find(instanceId)?.pool ?? pool);
    if (blocked !== undefined) return Left({ kind: "refused", message: blocked });
    return commands.move(instanceId, pool, changeId);
  };
  const manager = createCapacityManager({
    entryId,
    incarnation,
    peers,
    view,
    commands: { ...commands, move },
    counter: demand,
    log,
    startsMoves: settings.planner === "move",
    text: () => configuration.current()?.text,
    isHolder: () => leaderRole.isHeld(),
    drainPlanned: () => new Set(),
  });
  const leaderRole = createLeaderRole({
    store,
    name: "capacity",
    entryId,
    log,
    periodMilliseconds: capacityPeriodMilliseconds,
    step: async () => {
      await budgets.refresh();
      await manager.step();
    },
  });
  return { manager, leaderRole };
}
