/**
 * Operators' routes for the configuration's history, roll-back and roll-out status.
 * @packageDocumentation
 */
import * as z from "zod";
import {
  readHistory,
  rollBack,
  type AcceptedConfiguration,
  type ApplyFailure,
  type ConfigurationKeeper,
  type InForceReport,
  type RollOutStatus,
} from "../configuration/index.js";
import type { StoreClient } from "../store/index.js";
import type { CommandAnswer } from "./command-answer.js";

/** Dependencies of the history routes. */
export interface HistoryParts {
  readonly store: StoreClient;
  readonly configuration: ConfigurationKeeper;
  readonly rollOut: InForceReport;
}

/** One accepted change without its configuration. */
export type HistoryEntry = Omit<AcceptedConfiguration, "text">;

/** Schema of a roll-back request. */
export const rollBackSchema = z.strictObject({
  changeId: z.string().min(1).max(100),
  author: z.string().min(1).max(100),
  baseRevision: z.int().min(1),
  toRevision: z.int().min(1),
});

/** URL paths of the routes. */
export const historyPaths = {
  history: "/operator/history",
  rollBack: "/operator/roll-back",
  rollOut: "/operator/roll-out",
} as const;

/** Each listed change costs one read of the store. */
const maximumListedChanges = 20;

/** Handlers of the history routes; the operator service registers them. */
export interface HistoryOperations {
  /** Lists the newest changes without their configurations; `failed` when the store cannot be read. */
  history(): Promise<readonly HistoryEntry[] | CommandAnswer>;
  /** Accepts the configuration of an earlier revision as a new revision. */
  rollBack(request: z.infer<typeof rollBackSchema>): Promise<CommandAnswer>;
  /** Returns the revision that each entry has in force and how long the last changes took to roll out. */
  rollOut(): RollOutStatus;
}

/**
 * Creates the handlers of the history routes.
 * @param parts - store, configuration in force and roll-out report
 * @returns the handlers
 */
export function createHistoryOperations({ store, configuration, rollOut }: HistoryParts): HistoryOperations {
  return {
    history: async () => {
      const read = await readHistory(store, maximumListedChanges);
      return read.caseOf<readonly HistoryEntry[] | CommandAnswer>({
        Left: ({ message }) => ({ result: "failed", message }),
        Right: (accepted) =>
          accepted.map(({ revision, changeId, author, acceptedAt }) => ({
            revision,
            changeId,
            author,
            acceptedAt,
          })),
      });
    },
    rollBack: async (request) => {
      const result = await rollBack(store, request);
      result.ifRight((accepted) => configuration.adopt(accepted));
      return result.caseOf<CommandAnswer>({
        Left: describeApplyFailure,
        Right: ({ revision, changeId }) => ({
          result: "done",
          message: `revision ${revision} has the configuration of revision ${request.toRevision}`,
          details: { revision, changeId },
        }),
      });
    },
    rollOut: () => rollOut.status(),
  };
}

/**
 * Converts the failure of a configuration change into the response to the command.
 * @param failure - why the change was not accepted
 * @returns the response body; its details list the faults, or the current configuration and the differences
 */
export function describeApplyFailure(failure: ApplyFailure): CommandAnswer {
  switch (failure.kind) {
    case "invalid":
      return { result: "invalid", message: "the configuration is not valid", details: failure.faults };
    case "conflict":
      return {
        result: "conflict",
        message: `the revision in force is ${failure.current?.revision ?? 0}`,
        details: { current: failure.current, differences: failure.differences },
      };
    case "not-done":
      return { result: "failed", message: failure.message };
    case "unknown":
      return { result: "unknown", message: failure.message };
  }
}
