/**
 * Wires the placement of instances and their maintenance.
 * @packageDocumentation
 */
import type { ConfigurationKeeper, OperatorConfiguration } from "../configuration/index.js";
import {
  createAvailabilityBudgets,
  createHttpInstanceControl,
  createMaintenanceGate,
  createWaveCommands,
  createWaveRunner,
  createWaveStore,
  type AvailabilityBudgets,
  type MaintenanceGate,
  type WaveCommands,
  type WaveRunner,
} from "../maintenance/index.js";
import {
  createKnownEntries,
  createPlacementCommands,
  createPlacementView,
  createPlacementWriter,
  createViewConfidence,
  startPlacementExchange,
  type KnownEntries,
  type PlacementCommands,
  type PlacementView,
  type PlacementWriter,
  type ViewConfidence,
} from "../pools/index.js";
import type { Foundation } from "./foundation.js";
import type { MembershipParts } from "./membership.js";

/** This entry's view of the placement and the commands that change it. */
export interface PlacementParts {
  readonly view: PlacementView;
  readonly writer: PlacementWriter;
  readonly commands: PlacementCommands;
  readonly entries: KnownEntries;
  readonly confidence: ViewConfidence;
  close(): void;
}

/**
 * Creates the view of the placement and its commands.
 * @param foundation - store and mirrors
 * @param membership - the other entries
 * @returns the parts
 */
export function wirePlacement(
  { store, mirrors }: Foundation,
  { peers, memberList, self }: MembershipParts,
): PlacementParts {
  const { entryId } = self;
  const view = createPlacementView(mirrors.placement);
  const writer = createPlacementWriter(store, mirrors.placement);
  const listEntryIds = (): string[] => memberList.entries().map((record) => record.entryId);
  const entries = createKnownEntries({ entryId, peers, listed: listEntryIds, now: Date.now });
  const confirmedAt = (): number => mirrors.placement.confirmedAt();
  const confidence = createViewConfidence({ entryId, entries, peers, confirmedAt, now: Date.now });
  startPlacementExchange(peers, mirrors.placement);
  const stop = new AbortController();
  void confidence.run(stop.signal);
  const close = (): void => {
    stop.abort();
  };
  return { view, writer, commands: createPlacementCommands(view, writer), entries, confidence, close };
}

/** Maintenance waves and the availability budgets that limit them. */
export interface MaintenanceParts {
  readonly budgets: AvailabilityBudgets;
  readonly gate: MaintenanceGate;
  readonly commands: WaveCommands;
  readonly runner: WaveRunner;
}

/**
 * Creates maintenance waves and availability budgets.
 * @param foundation - settings, store and log
 * @param configuration - the configuration in force
 * @param membership - the other entries
 * @param placement - the instances
 * @returns the parts
 */
export function wireMaintenance(
  { settings, store, log }: Foundation,
  configuration: ConfigurationKeeper,
  { peers }: MembershipParts,
  { view, commands }: PlacementParts,
): MaintenanceParts {
  const operatorConfiguration = (): OperatorConfiguration | undefined => configuration.current()?.text;
  const budgets = createAvailabilityBudgets({ peers, text: operatorConfiguration, now: Date.now });
  const budgetLeft = (service: string): number | undefined => budgets.read(service)?.left;
  const gate = createMaintenanceGate({ view, text: operatorConfiguration, budgetLeft });
  const waves = createWaveStore(store);
  const control = createHttpInstanceControl(settings.instanceList.address);
  const runner = createWaveRunner({ waves, view, commands, control, gate, log, now: Date.now });
  return { budgets, gate, commands: createWaveCommands(waves, view), runner };
}
