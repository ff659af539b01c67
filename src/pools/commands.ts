/**
 * Placement commands of operators and planners.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { nextSince, type PlacedInstance } from "./placement-record.js";
import type { PlacementView } from "./placement-view.js";
import type { PlacementFailure, PlacementWriter } from "./placement-writer.js";

/** Commands that change the placement. Each resolves to the store revision of the zone's record or a failure. */
export interface PlacementCommands {
  /**
   * Starts moving a serving instance: it accepts no new requests and joins the pool when its requests have ended.
   * @param instanceId - the instance
   * @param pool - name of the destination pool; refused when the instance is already in it
   * @param changeId - identifier of the command, which makes a repetition idempotent
   */
  move(instanceId: string, pool: string, changeId: string): Promise<Either<PlacementFailure, number>>;
  /** Starts draining a serving instance: it accepts no new requests and is stopped when its requests have ended. */
  drain(instanceId: string, changeId: string): Promise<Either<PlacementFailure, number>>;
  /** Returns a leaving or stopped instance to service in its pool. */
  restore(
    instanceId: string,
    changeId: string,
    options?: RestoreOptions,
  ): Promise<Either<PlacementFailure, number>>;
  /**
   * Reserves a stopped instance, so that only the holder can restore it.
   * @param instanceId - the instance
   * @param changeId - identifier of the command, which makes a repetition idempotent
   * @param holder - name of the holder; refused when another holder has reserved the instance
   */
  reserve(instanceId: string, changeId: string, holder: string): Promise<Either<PlacementFailure, number>>;
  /** Ends a reservation; the instance stays stopped. */
  release(instanceId: string, changeId: string, holder: string): Promise<Either<PlacementFailure, number>>;
}

/** Options of {@link PlacementCommands.restore}. */
export interface RestoreOptions {
  /** Identifier of a command that must have no effect, even if it arrives after this one. */
  readonly supersedes?: string;
  /** Name under which the instance was reserved; required when it is reserved. */
  readonly holder?: string;
}

/** Number of command identifiers kept for each instance. A command repeated after this many others is executed again. */
const maximumRecentChanges = 8;

/**
 * Creates the placement commands.
 * @param view - supplies the availability zone of an instance
 * @param writer - writes the changes to the store
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
