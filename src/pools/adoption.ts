/**
 * Reconciles the placement with the platform's instance list and the configuration: places new instances, updates the
 * address of replaced ones, drains those that the platform takes away and moves those whose pool was removed.
 * @packageDocumentation
 */
import { Right } from "purify-ts";
import type { OperatorConfiguration } from "../configuration/index.js";
import type { InstanceList, ListedInstance } from "../store/index.js";
import type { Log } from "../telemetry/index.js";
import { nextSince, type PlacedInstance, type Target } from "./placement-record.js";
import type { PlacementView } from "./placement-view.js";
import type { PlacementWriter, ZoneInstances } from "./placement-writer.js";

/** Reconciles the placement with the platform's instance list. */
export interface Adoption {
  /** Reads the list once and writes the placement changes that follow from it. */
  step(): Promise<void>;
}

/** Dependencies of {@link createAdoption}. */
export interface AdoptionParts {
  readonly instanceList: InstanceList;
  readonly view: PlacementView;
  readonly writer: PlacementWriter;
  readonly log: Log;
  /** The configuration in force, or undefined before the first one. */
  text(): OperatorConfiguration | undefined;
  /** Current time in milliseconds since the epoch. */
  readonly now: () => number;
}

/** Time for which an instance must be missing from the list before it counts as taken away. */
export const absenceMilliseconds = 30_000;
/** A list without more than this share of the placed instances is treated as faulty and causes no removal. */
const maximumAbsentShare = 0.5;

const takenAwayChangeId = "platform/taken-away";

type InstanceChange = (placed: PlacedInstance | undefined) => PlacedInstance | undefined;

interface PlannedChange {
  readonly zone: string;
  readonly instanceId: string;
  readonly reason: "adopted" | "replaced" | "taken-away" | "given-back" | "pool-gone" | "removed";
  readonly change: InstanceChange;
}

/**
 * Creates the reconciliation. It does nothing until {@link Adoption.step} is called.
 * @param parts - dependencies
 * @returns the reconciliation
 */
export function createAdoption(parts: AdoptionParts): Adoption {
  const { view, writer, log } = parts;
  const absentSince = new Map<string, number>();
  let writeCount = 0;

  const updateAbsences = (listed: ReadonlyMap<string, ListedInstance>): void => {
    const absent = view.all().filter(({ instanceId }) => !listed.has(instanceId));
    if (absent.length > view.all().length * maximumAbsentShare) {
      log.write("warn", "instance-list-doubted", { absent: absent.length, placed: view.all().length });
      absentSince.clear();
      return;
    }
    const absentIds = new Set(absent.map(({ instanceId }) => instanceId));
    for (const instanceId of [...absentSince.keys()].filter((held) => !absentIds.has(held))) {
      absentSince.delete(instanceId);
    }
    for (const instanceId of absentIds) {
      if (!absentSince.has(instanceId)) absentSince.set(instanceId, parts.now());
    }
  };

  const isAbsenceConfirmed = (instanceId: string): boolean =>
    parts.now() - (absentSince.get(instanceId) ?? Infinity) > absenceMilliseconds;

  const planChanges = (
    target: Target,
    listed: ListedInstance | undefined,
    configuration: OperatorConfiguration,
  ): PlannedChange[] => {
    const { zone, instanceId } = target;
    if (listed === undefined && isAbsenceConfirmed(instanceId)) {
      return isRemovable(target)
        ? [{ zone, instanceId, reason: "removed", change: removeStopped(target) }]
        : planPermanentDeparture(target);
    }
    if (listed?.state === "leaving") return planPermanentDeparture(target);
    if (listed?.state === "live" && listed.address !== target.address && listed.zone === zone) {
      return [{ zone, instanceId, reason: "replaced", change: replaceAddress(target, listed) }];
    }
    if (listed?.state === "live" && isListedAgain(target)) {
      return [{ zone, instanceId, reason: "given-back", change: resumeServing(target) }];
    }
    return planMoveToSparePool(target, configuration);
  };

  const applyZone = async (zone: string, planned: readonly PlannedChange[]): Promise<void> => {
    writeCount += 1;
    const writeId = `adoption/${parts.now()}/${writeCount}`;
    const result = await writer.change(zone, writeId, (instances) => Right(applyAll(instances, planned)));
    result.ifRight(() => {
      for (const { instanceId, reason } of planned) {
        log.write("info", "instance-followed", { instance: instanceId, zone, reason });
      }
    });
  };

  return {
    step: async () => {
      const configuration = parts.text();
      if (configuration === undefined) return;
      const read = await parts.instanceList.read();
      if (read.isLeft()) {
        log.write("warn", "instance-list-unread", { message: read.swap().orDefault("") });
        return;
      }
      const listed = new Map(read.orDefault([]).map((instance) => [instance.instanceId, instance]));
      updateAbsences(listed);
      const planned = [
        ...[...listed.values()].flatMap((instance) => planAdoption(view, configuration, instance)),
        ...view.all().flatMap((target) => planChanges(target, listed.get(target.instanceId), configuration)),
      ];
      const zones = new Set(planned.map(({ zone }) => zone));
      await Promise.all(
        [...zones].map(async (zone) =>
          applyZone(
            zone,
            planned.filter((each) => each.zone === zone),
          ),
        ),
      );
    },
  };
}

function applyAll(instances: ZoneInstances, planned: readonly PlannedChange[]): ZoneInstances {
  return planned.reduce<ZoneInstances>((held, { instanceId, change }) => {
    const before = held[instanceId];
    const after = change(before);
    if (after === before) return held;
    const others = Object.entries(held).filter(([other]) => other !== instanceId);
    return Object.fromEntries(after === undefined ? others : [...others, [instanceId, after]]);
  }, instances);
}

function planAdoption(
  view: PlacementView,
  configuration: OperatorConfiguration,
  instance: ListedInstance,
): PlannedChange[] {
  const { instanceId, address, rack, zone } = instance;
  if (instance.state !== "live" || view.find(instanceId) !== undefined) return [];
  const pool =
    configuration.pools.find(({ name }) => name === instance.pool) ??
    configuration.pools.find(({ spare }) => spare);
  if (pool === undefined) return [];
  const placed: PlacedInstance = {
    instanceId,
    address,
    rack,
    pool: pool.name,
    state: "serving",
    recentChanges: [],
    since: Date.now(),
  };
  return [{ zone, instanceId, reason: "adopted", change: (held) => held ?? placed }];
}

function replaceAddress(target: Target, { address, rack }: ListedInstance): InstanceChange {
  // A leader that was paused may use an outdated list, so the write only replaces the address that it read before.
  return (placed) => (placed?.address === target.address ? { ...placed, address, rack } : placed);
}

function removeStopped(target: Target): InstanceChange {
  return (placed) => (isRemovable(placed) && placed.since === target.since ? undefined : placed);
}

/** A reserved instance must stay placed: it may be missing from the list while it reboots. */
function isRemovable(placed: PlacedInstance | undefined): placed is PlacedInstance {
  return placed?.state === "stopped" && placed.reservedBy === undefined;
}

function planPermanentDeparture(target: Target): PlannedChange[] {
  const { zone, instanceId } = target;
  const isDraining = target.state === "leaving" && target.moveTo === undefined;
  if (isDraining || target.state === "stopped") return [];
  const change = startLeaving(target, undefined, takenAwayChangeId);
  return [{ zone, instanceId, reason: "taken-away", change }];
}

/** The list lags, so an instance that has just rebooted may have been taken away because the list still showed it as leaving. */
function isListedAgain(target: Target): boolean {
  return target.state === "stopped" && target.changeId === takenAwayChangeId;
}

function resumeServing(target: Target): InstanceChange {
  return (placed) => {
    if (placed?.since !== target.since) return placed;
    return { ...placed, state: "serving", changeId: undefined, since: nextSince(placed) };
  };
}

function planMoveToSparePool(target: Target, configuration: OperatorConfiguration): PlannedChange[] {
  const { zone, instanceId } = target;
  const spare = configuration.pools.find((pool) => pool.spare);
  const isConfigured = configuration.pools.some(({ name }) => name === target.pool);
  if (isConfigured || spare === undefined || target.state !== "serving") return [];
  const change = startLeaving(target, spare.name, `text/pool-gone/${target.pool}`);
  return [{ zone, instanceId, reason: "pool-gone", change }];
}

function startLeaving(target: Target, moveTo: string | undefined, changeId: string): InstanceChange {
  return (placed) => {
    if (placed?.since !== target.since) return placed;
    return { ...placed, state: "leaving", moveTo, changeId, since: nextSince(placed) };
  };
}
