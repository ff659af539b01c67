/**
 * Runs the planner: collects demand, plans, logs every decision and starts the moves. The planner itself has no side effects.
 * @packageDocumentation
 */
import type { OperatorConfiguration } from "../configuration/index.js";
import type { PeerNetwork } from "../membership/index.js";
import type { PlacementCommands, PlacementView } from "../pools/index.js";
import type { Log } from "../telemetry/index.js";
import { createDemandCollector } from "./demand-collector.js";
import type { DemandCounter } from "./demand-counter.js";
import { readDemand, readPlan } from "./messages.js";
import { planMoves } from "./plan.js";
import { defaultPlannerLimits, type PlanDecision } from "./plan-messages.js";
import { describePools, listCollectedPools } from "./configured-pools.js";

/** The plan as of now, with the entry that made it. */
export interface PlanReport {
  /** The entry that holds the capacity leader role and made the plan; undefined if no reachable entry holds it. */
  readonly holder: string | undefined;
  readonly decisions: readonly unknown[];
}

/** Plans the capacity of pools and moves instances between them. */
export interface CapacityManager {
  /** One step of the capacity leader role: collects demand and, when due, plans and starts the moves. */
  step(): Promise<void>;
  /**
   * Reads the present plan of the leader role's holder without starting any move.
   * @returns the plan; without decisions if no reachable entry holds the leader role
   */
  dryRun(): Promise<PlanReport>;
}

/** The parts that a capacity manager uses. */
export interface CapacityManagerParts {
  readonly entryId: string;
  readonly incarnation: number;
  readonly peers: PeerNetwork;
  readonly view: PlacementView;
  readonly commands: PlacementCommands;
  readonly counter: DemandCounter;
  readonly log: Log;
  /** Whether planned moves are started; if false, they are only logged. */
  readonly startsMoves: boolean;
  /** Returns the configuration in force; undefined before the first one. */
  text(): OperatorConfiguration | undefined;
  /** Whether this entry holds the capacity leader role. */
  isHolder(): boolean;
  /** Returns the identifiers of instances that a maintenance wave will drain soon. */
  drainPlanned(): ReadonlySet<string>;
}

const stepsPerPlan = 10;
const callTimeoutMilliseconds = 1_000;

/**
 * Creates a manager and registers the handlers of the peer calls that read demand and plan.
 * @param parts - the parts that the manager uses
 * @returns the manager, which acts only when `step` is called
 */
export function createCapacityManager(parts: CapacityManagerParts): CapacityManager {
  const { peers, view, commands, counter, log } = parts;
  const collector = createDemandCollector(peers, counter);
  let steps = 0;

  const plan = (): PlanDecision[] => {
    const configuration = parts.text();
    if (configuration === undefined) return [];
    return planMoves({
      atMilliseconds: Date.now(),
      pools: describePools(configuration, (pool) => collector.demand(pool)),
      instances: view.all(),
      drainPlanned: parts.drainPlanned(),
      limits: defaultPlannerLimits,
    });
  };

  const execute = async (decision: PlanDecision): Promise<void> => {
    logDecision(log, decision);
    if (decision.action !== "move" || !parts.startsMoves) return;
    const since = view.find(decision.instanceId)?.since ?? 0;
    const changeId = `plan/${decision.instanceId}/${since}`;
    const result = await commands.move(decision.instanceId, decision.to, changeId);
    result.ifLeft(({ kind, message }) => {
      log.write("warn", "planned-move-failed", { instance: decision.instanceId, kind, message });
    });
  };

  peers.answer(readDemand, () => ({ incarnation: parts.incarnation, pools: counter.all() }));
  peers.answer(readPlan, () => ({ isHolder: parts.isHolder(), decisions: parts.isHolder() ? plan() : [] }));

  return {
    step: async () => {
      const configuration = parts.text();
      if (configuration === undefined) return;
      await collector.collect(listCollectedPools(configuration));
      steps += 1;
      if (steps % stepsPerPlan !== 0) return;
      for (const decision of plan()) await execute(decision);
    },
    dryRun: async () => {
      if (parts.isHolder()) return { holder: parts.entryId, decisions: plan() };
      const answers = await Promise.all(
        peers.upPeers().map(async (peerId) => {
          const answer = await peers.call(peerId, readPlan, {}, callTimeoutMilliseconds);
          return answer
            .map((read) => ({ peerId, ...read }))
            .toMaybe()
            .extractNullable();
        }),
      );
      const holderAnswer = answers.find((answer) => answer?.isHolder === true);
      return { holder: holderAnswer?.peerId, decisions: holderAnswer?.decisions ?? [] };
    },
  };
}

function logDecision(log: Log, decision: PlanDecision): void {
  if (decision.action === "move") {
    const { instanceId: instance, from, to, reason } = decision;
    log.write("info", "plan-move", { instance, from, to, reason });
    return;
  }
  const { action, pool, held, required, requirement, reason } = decision;
  const fields = { pool, held, required, believedShareInTime: requirement?.believedShareInTime, reason };
  if (action === "shortage") log.write("warn", "plan-shortage", fields);
  else log.write("debug", "plan-hold", fields);
}
