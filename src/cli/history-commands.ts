/**
 * Commands on the history of the configuration: history, rollback, rollout.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { defineCommand } from "citty";
import { historyPaths } from "../operations/history-routes.js";
import { exitCodes } from "./exit-codes.js";
import { sendCommand } from "./operator-client.js";
import { printFromEntry } from "./print-from-entry.js";
import { operatorAddress, operatorArguments, reportCommand, reportFailure } from "./shared-arguments.js";

/** Lists the most recently accepted changes. */
export const historyCommand = defineCommand({
  meta: { name: "history", description: "List accepted changes. Example: dogwoodhoist history" },
  args: operatorArguments,
  run: async ({ args }) => printFromEntry(args, historyPaths.history),
});

/** Shows which revision each entry has. */
export const rollOutCommand = defineCommand({
  meta: {
    name: "rollout",
    description: "Show the configuration revision of each entry. Example: dogwoodhoist rollout",
  },
  args: operatorArguments,
  run: async ({ args }) => printFromEntry(args, historyPaths.rollOut),
});

/** Accepts the configuration of an earlier revision as a new revision. */
export const rollBackCommand = defineCommand({
  meta: {
    name: "rollback",
    description: "Return to an earlier configuration. Example: dogwoodhoist rollback 3 --base 7",
  },
  args: {
    revision: { type: "positional", required: true, description: "Revision to restore as a new revision" },
    base: { type: "string", required: true, description: "Revision that is in force" },
    "change-id": {
      type: "string",
      description: "Identifier of the change; a repeated identifier is accepted only once",
    },
    ...operatorArguments,
  },
  run: async ({ args }) => {
    const toRevision = Number(args.revision);
    const baseRevision = Number(args.base);
    if (!isRevision(toRevision) || !isRevision(baseRevision)) {
      const message = "the revision and --base must be integers of 1 or more";
      reportFailure({ exitCode: exitCodes.badUsage, message });
      return;
    }
    const request = {
      changeId: args["change-id"] ?? randomUUID(),
      author: userInfo().username,
      baseRevision,
      toRevision,
    };
    reportCommand(await sendCommand(operatorAddress(args), historyPaths.rollBack, request), args.json);
  },
});

function isRevision(value: number): boolean {
  return Number.isInteger(value) && value >= 1;
}
