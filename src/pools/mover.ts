/**
 * Completes leaving instances: waits until every entry confirmed that it has no work there, then records the next
 * state. All progress is in the placement records, so that any entry can go on after another one died.
 * @packageDocumentation
 */
import { Left, Right } from "purify-ts";
import type { PeerNetwork } from "../membership/index.js";
import type { Log } from "../telemetry/index.js";
import { confirmLeaving } from "./messages.js";
import type { PlacedInstance, Target } from "./placement-record.js";
import type { PlacementView } from "./placement-view.js";
import type { PlacementWriter } from "./placement-writer.js";

/** Completes leaving instances. */
export interface Mover {
  /** Looks at every leaving instance once and completes those without work. */
  step(): Promise<void>;
}

/** What a mover works with. */
export interface MoverParts {
  readonly entryId: string;
  readonly view: PlacementView;
  readonly writer: PlacementWriter;
  readonly peers: PeerNetwork;
  readonly log: Log;
  /** Identifiers of all entries that may still send to an instance, this one included. */
  roster(): readonly string[];
  /** Requests that this entry has in progress on an instance. */
  inProgress(instanceId: string): number;
}

const confirmTimeoutMilliseconds = 1_000;

/**
 * Creates a mover and answers peers' questions about this entry's own work.
 * @param parts - what it works with
 * @returns the mover
 */
export function createMover(parts: MoverParts): Mover {
  const { view, writer, peers, log } = parts;

  peers.answer(confirmLeaving, ({ zone, instanceId, revision }) => ({
    seen: view.revision(zone) >= revision,
    inProgress: parts.inProgress(instanceId),
  }));

  const isConfirmedBy = async (entryId: string, target: Target, revision: number): Promise<boolean> => {
    if (entryId === parts.entryId) return parts.inProgress(target.instanceId) === 0;
    const question = { zone: target.zone, instanceId: target.instanceId, revision };
    const reply = await peers.call(entryId, confirmLeaving, question, confirmTimeoutMilliseconds);
    return reply.map(({ seen, inProgress }) => seen && inProgress === 0).orDefault(false);
  };

  const complete = async (target: Target): Promise<void> => {
    const revision = view.revision(target.zone);
    const answers = await Promise.all(
      parts.roster().map(async (entryId) => isConfirmedBy(entryId, target, revision)),
    );
    if (!answers.every(Boolean)) return;
    const writeId = `complete/${target.instanceId}/${revision}`;
    const result = await writer.change(target.zone, writeId, (instances) => {
      const placed = instances[target.instanceId];
      if (placed?.state !== "leaving" || placed.since !== target.since) return Left("the instance changed");
      return Right({ ...instances, [target.instanceId]: completePlacement(placed) });
    });
    result.ifRight(() => {
      log.write("info", target.moveTo === undefined ? "drain-finished" : "move-finished", {
        instance: target.instanceId,
        from: target.pool,
        to: target.moveTo,
        milliseconds: Date.now() - target.since,
      });
    });
  };

  return {
    step: async () => {
      const leaving = view.all().filter(({ state }) => state === "leaving");
      await Promise.all(leaving.map(complete));
    },
  };
}

function completePlacement(placed: PlacedInstance): PlacedInstance {
  const since = Date.now();
  if (placed.moveTo === undefined) return { ...placed, state: "stopped", since };
  return { ...placed, pool: placed.moveTo, moveTo: undefined, state: "serving", since };
}
