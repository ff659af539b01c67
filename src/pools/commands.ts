/**
 * Operators' and planners' commands on the placement.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { nextSince, type PlacedInstance } from "./placement-record.js";
import type { PlacementView } from "./placement-view.js";
import type { PlacementFailure, PlacementWriter } from "./placement-writer.js";

/** Commands on the placement. */
export interface PlacementCommands {
  /**
   * Starts to move an instance: it takes no new work and joins the pool once it has none.
   * @param instanceId - the instance
   * @param pool - the pool it joins
   * @param changeId - identifier of the command; repeating it changes nothing more
   */
  move(instanceId: string, pool: string, changeId: string): Promise<Either<PlacementFailure, number>>;
  /** Starts to drain an instance: it takes no new work and is stopped once it has none. */
  drain(instanceId: string, changeId: string): Promise<Either<PlacementFailure, number>>;
  /** Lets a leaving or stopped instance serve its pool again. */
  restore(
    instanceId: string,
    changeId: string,
    options?: RestoreOptions,
  ): Promise<Either<PlacementFailure, number>>;
  /**
   * Reserves a stopped instance, so that only the holder can let it serve again.
   * @param instanceId - the instance
   * @param changeId - identifier of the command
   * @param holder - who reserves it
   */
  reserve(instanceId: string, changeId: string, holder: string): Promise<Either<PlacementFailure, number>>;
  /** Ends a reservation; the instance stays stopped. */
  release(instanceId: string, changeId: string, holder: string): Promise<Either<PlacementFailure, number>>;
}

/** What a restore may do beyond its usual work. */
export interface RestoreOptions {
  /** A command that must have no effect from now on, also if it arrives later. */
  readonly supersedes?: string;
  /** Who reserved the instance. */
  readonly holder?: string;
}

/** A command repeated after this many others on the same instance counts as a new one. */
const maximumRecentChanges = 8;

/**
 * Creates the commands.
 * @param view - finds an instance's availability zone
 * @param writer - writes the changes
 * @returns the commands
 */
export function createPlacementCommands(view: PlacementView, writer: PlacementWriter): PlacementCommands {
  const changeInstance = async (
    instanceId: string,
    changeId: string,
    next: (placed: PlacedInstance) => Either<string, PlacedInstance>,
  ): Promise<Either<PlacementFailure, number>> => {
    const zone = view.find(instanceId)?.zone;
    if (zone === undefined) {
      return Left({ kind: "refused", message: `instance "${instanceId}" is not placed` });
    }
    return writer.change(zone, `${changeId}/${instanceId}`, (instances) => {
      const placed = instances[instanceId];
      if (placed === undefined) return Left(`instance "${instanceId}" is not placed in zone ${zone}`);
      if (placed.recentChanges.includes(changeId)) return Right(instances);
      const recentChanges = [changeId, ...placed.recentChanges].slice(0, maximumRecentChanges);
      return next({ ...placed, recentChanges }).map((changed) => ({
        ...instances,
        [instanceId]: { ...changed, changeId, since: nextSince(placed) },
      }));
    });
  };

  return {
    move: async (instanceId, pool, changeId) =>
      changeInstance(instanceId, changeId, (placed) => {
        if (placed.state !== "serving") return Left(`instance "${instanceId}" is ${placed.state}`);
        if (placed.pool === pool) return Left(`instance "${instanceId}" is in pool "${pool}" already`);
        return Right({ ...placed, state: "leaving", moveTo: pool });
      }),
    drain: async (instanceId, changeId) =>
      changeInstance(instanceId, changeId, (placed) => {
        if (placed.state !== "serving") return Left(`instance "${instanceId}" is ${placed.state}`);
        return Right({ ...placed, state: "leaving", moveTo: undefined });
      }),
    restore: async (instanceId, changeId, options = {}) =>
      changeInstance(instanceId, changeId, (placed) => restorePlacement(placed, options)),
    reserve: async (instanceId, changeId, holder) =>
      changeInstance(instanceId, changeId, (placed) => {
        if (placed.state !== "stopped") return Left(`instance "${instanceId}" is ${placed.state}`);
        if (placed.reservedBy !== undefined && placed.reservedBy !== holder)
          return Left(reservedMessage(placed));
        return Right({ ...placed, reservedBy: holder });
      }),
    release: async (instanceId, changeId, holder) =>
      changeInstance(instanceId, changeId, (placed) => {
        if (placed.reservedBy !== holder)
          return Left(`instance "${instanceId}" is not reserved by ${holder}`);
        return Right({ ...placed, reservedBy: undefined });
      }),
  };
}

function restorePlacement(
  placed: PlacedInstance,
  { supersedes, holder }: RestoreOptions,
): Either<string, PlacedInstance> {
  if (placed.state === "serving" && supersedes === undefined) {
    return Left(`instance "${placed.instanceId}" is serving`);
  }
  if (placed.reservedBy !== undefined && placed.reservedBy !== holder) return Left(reservedMessage(placed));
  const [currentChange, ...earlier] = placed.recentChanges;
  const recentChanges = [currentChange, supersedes, ...earlier].filter((each) => each !== undefined);
  return Right({ ...placed, recentChanges, state: "serving", moveTo: undefined, reservedBy: undefined });
}

function reservedMessage({ instanceId, reservedBy }: PlacedInstance): string {
  return `instance "${instanceId}" is reserved by ${reservedBy ?? ""}`;
}
