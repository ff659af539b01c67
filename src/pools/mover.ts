/**
 * Completes moves and drains: when every entry has confirmed that it has no requests on a leaving instance, writes the
 * instance's next state. All progress is in the placement records, so any entry can continue after another one crashed.
 * @packageDocumentation
 */
import { Left, Right } from "purify-ts";
import type { OperatorConfiguration } from "../configuration/index.js";
import type { PeerNetwork } from "../membership/index.js";
import type { Log } from "../telemetry/index.js";
import { createDepartureCheck } from "./departure.js";
import type { KnownEntries } from "./known-entries.js";
import { nextSince, type PlacedInstance, type Target } from "./placement-record.js";
import type { PlacementView } from "./placement-view.js";
import type { PlacementWriter } from "./placement-writer.js";

/** Completes moves and drains. */
export interface Mover {
  /** Checks every leaving instance once and completes those without requests. */
  step(): Promise<void>;
}

/** Dependencies of {@link createMover}. */
export interface MoverParts {
  readonly entryId: string;
  readonly view: PlacementView;
  readonly writer: PlacementWriter;
  readonly peers: PeerNetwork;
  readonly entries: KnownEntries;
  readonly log: Log;
  /** The configuration in force, or undefined before the first one. */
  text(): OperatorConfiguration | undefined;
  /** Current time in milliseconds since the epoch. */
  readonly now: () => number;
  /** Number of requests that this entry has in progress on an instance. */
  inProgress(instanceId: string): number;
}

/**
 * Creates a mover and registers the peer calls that report this entry's own requests.
 * @param parts - dependencies
 * @returns the mover
 */
export function createMover(parts: MoverParts): Mover {
  const { view, writer, log } = parts;
  const departure = createDepartureCheck(parts);

  const completeDeparture = async (target: Target): Promise<void> => {
    if (!(await departure.isConfirmed(target))) return;
    const pool = findNextPool(target, parts.text());
    const writeId = `complete/${parts.entryId}/${target.instanceId}/${target.since}`;
    const result = await writer.change(target.zone, writeId, (instances) => {
      const placed = instances[target.instanceId];
      if (placed === undefined || !isSameDeparture(placed, target)) return Left("the instance changed");
      return Right({ ...instances, [target.instanceId]: completePlacement(placed, pool) });
    });
    result.ifRight(() => {
      log.write("info", pool === undefined ? "drain-finished" : "move-finished", {
        instance: target.instanceId,
        from: target.pool,
        to: pool,
        milliseconds: Date.now() - target.since,
      });
    });
  };

  return {
    step: async () => {
      const leaving = view.all().filter(({ state }) => state === "leaving");
      await Promise.all(leaving.map(completeDeparture));
    },
  };
}

/** Whether the instance is still in the departure that was confirmed. A confirmation does not hold for a later one. */
function isSameDeparture(placed: PlacedInstance, target: Target): boolean {
  return (
    placed.state === "leaving" &&
    placed.since === target.since &&
    placed.changeId === target.changeId &&
    placed.moveTo === target.moveTo
  );
}

/** Returns the destination pool, or the spare pool when the destination was removed from the configuration. */
function findNextPool(
  { moveTo }: Target,
  configuration: OperatorConfiguration | undefined,
): string | undefined {
  if (moveTo === undefined || configuration === undefined) return moveTo;
  if (configuration.pools.some(({ name }) => name === moveTo)) return moveTo;
  return configuration.pools.find(({ spare }) => spare)?.name ?? moveTo;
}

function completePlacement(placed: PlacedInstance, pool: string | undefined): PlacedInstance {
  const since = nextSince(placed);
  if (pool === undefined) return { ...placed, state: "stopped", since };
  return { ...placed, pool, moveTo: undefined, state: "serving", since };
}
