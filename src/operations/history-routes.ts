/**
 * Operators' routes for the history of the configuration, its roll-back and its roll-out.
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

/** What the routes work with. */
export interface HistoryParts {
  readonly store: StoreClient;
  readonly configuration: ConfigurationKeeper;
  readonly rollOut: InForceReport;
}

/** One accepted change without its configuration. */
export type HistoryEntry = Omit<AcceptedConfiguration, "text">;

/** Checks a request to roll back. */
export const rollBackSchema = z.strictObject({
  changeId: z.string().min(1).max(100),
  author: z.string().min(1).max(100),
  baseRevision: z.int().min(1),
  toRevision: z.int().min(1),
});

/** Where the routes are. */
export const historyPaths = {
  history: "/operator/history",
  rollBack: "/operator/roll-back",
  rollOut: "/operator/roll-out",
} as const;

const maximumListedChanges = 20;

/** The operations behind the routes; the operator service registers them. */
export interface HistoryOperations {
  /** Lists the newest changes, without their configurations. */
  history(): Promise<readonly HistoryEntry[] | CommandAnswer>;
  /** Accepts the configuration of an earlier revision as a new revision. */
  rollBack(request: z.infer<typeof rollBackSchema>): Promise<CommandAnswer>;
  /** Tells which entries have which revision in force and how long changes took. */
  rollOut(): RollOutStatus;
}

/**
 * Creates the operations.
 * @param parts - what they work with
 * @returns the operations
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
          message: `revision ${revision} has the text of revision ${request.toRevision}`,
          details: { revision, changeId },
        }),
      });
    },
    rollOut: () => rollOut.status(),
  };
}

/**
 * Describes why a change was not accepted.
 * @param failure - the failure
 * @returns the answer to the command
 */
export function describeApplyFailure(failure: ApplyFailure): CommandAnswer {
  switch (failure.kind) {
    case "invalid":
      return { result: "invalid", message: "the text is not valid", details: failure.faults };
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
