/**
 * Operators' HTTP routes for maintenance waves and availability budgets.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import * as z from "zod";
import {
  waveLimitsSchema,
  type AvailabilityBudgets,
  type WaveCommands,
  type WaveFailure,
  type WaveRecord,
} from "../maintenance/index.js";
import { describeRecordFailure, type CommandAnswer } from "./command-answer.js";
import type { OperatorRoutes } from "./operator-service.js";

/** Dependencies of the wave routes. */
export interface WaveRoutesParts {
  readonly waves: WaveCommands;
  readonly budgets: AvailabilityBudgets;
  /** Returns the names of the services in the configuration in force. */
  readonly services: () => readonly string[];
}

const startSchema = z.strictObject({
  waveId: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  pools: z.array(z.string()).default([]),
  zones: z.array(z.string()).default([]),
  limits: waveLimitsSchema.prefault({}),
});
const changeSchema = z.strictObject({ waveId: z.string(), changeId: z.string().min(1) });
const showSchema = z.strictObject({});

/**
 * Adds the routes `/operator/wave/start`, `pause`, `resume`, `abort`, `show` and `/operator/budgets`.
 * @param routes - the operators' interface
 * @param parts - wave commands, budgets and service names
 */
export function addWaveRoutes(routes: OperatorRoutes, { waves, budgets, services }: WaveRoutesParts): void {
  routes.command("/operator/wave/start", startSchema, async (request) =>
    describeWaveResult(await waves.start(request)),
  );
  routes.command("/operator/wave/pause", changeSchema, async ({ waveId, changeId }) =>
    describeWaveResult(await waves.pause(waveId, changeId)),
  );
  routes.command("/operator/wave/resume", changeSchema, async ({ waveId, changeId }) =>
    describeWaveResult(await waves.resume(waveId, changeId)),
  );
  routes.command("/operator/wave/abort", changeSchema, async ({ waveId, changeId }) =>
    describeWaveResult(await waves.abort(waveId, changeId)),
  );
  routes.command("/operator/wave/show", showSchema, async () => describeWaveResult(await waves.show()));
  routes.read("/operator/budgets", () =>
    Object.fromEntries(services().map((service) => [service, budgets.read(service) ?? null])),
  );
}

function describeWaveResult(result: Either<WaveFailure, WaveRecord | undefined>): CommandAnswer {
  return result.caseOf<CommandAnswer>({
    Left: describeRecordFailure,
    Right: (wave) =>
      wave === undefined
        ? { result: "done", message: "no wave has been started yet" }
        : { result: "done", message: summarizeWave(wave), details: wave },
  });
}

function summarizeWave({ waveId, state, reason, instances, currentBatch, batches }: WaveRecord): string {
  const counts = new Map<string, number>();
  for (const instance of Object.values(instances)) {
    counts.set(instance.state, (counts.get(instance.state) ?? 0) + 1);
  }
  const parts = [...counts].map(([name, count]) => `${count} ${name}`).join(", ");
  const batch = `batch ${Math.min(currentBatch + 1, batches.length)} of ${batches.length}`;
  return `wave "${waveId}" is ${state}, ${batch}: ${parts}${reason === undefined ? "" : `; ${reason}`}`;
}
