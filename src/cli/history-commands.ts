/**
 * Commands on the history of the configuration: history, rollback, rollout.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { defineCommand } from "citty";
import { historyPaths } from "../operations/history-routes.js";
import { exitCodes } from "./exit-codes.js";
import { readFromEntry, sendCommand } from "./operator-client.js";
import {
  operatorAddress,
  operatorArguments,
  reportCommand,
  reportFailure,
  writeLine,
} from "./shared-arguments.js";

/** Lists the newest accepted changes. */
export const historyCommand = defineCommand({
  meta: { name: "history", description: "List accepted changes. Example: dogwoodhoist history" },
  args: operatorArguments,
  run: async ({ args }) => writeRead(args, historyPaths.history),
});

/** Shows how far changes have come. */
export const rollOutCommand = defineCommand({
  meta: {
    name: "rollout",
    description: "Show which entries have which revision. Example: dogwoodhoist rollout",
  },
  args: operatorArguments,
  run: async ({ args }) => writeRead(args, historyPaths.rollOut),
});

/** Accepts the configuration of an earlier revision as a new revision. */
export const rollBackCommand = defineCommand({
  meta: {
    name: "rollback",
    description: "Return to an earlier text. Example: dogwoodhoist rollback 3 --base 7",
  },
  args: {
    revision: { type: "positional", required: true, description: "Revision whose text is accepted anew" },
    base: { type: "string", required: true, description: "Revision that is in force now" },
    "change-id": { type: "string", description: "Identifier; the same one is accepted once" },
    ...operatorArguments,
  },
  run: async ({ args }) => {
    const toRevision = Number(args.revision);
    const baseRevision = Number(args.base);
    if (!isRevision(toRevision) || !isRevision(baseRevision)) {
      const message = "the revision and --base must be whole numbers of 1 or more";
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

async function writeRead(
  args: { entry: string; token?: string | undefined; json: boolean },
  path: string,
): Promise<void> {
  const read = await readFromEntry(operatorAddress(args), path);
  read.caseOf({
    Left: reportFailure,
    Right: (value) => {
      writeLine(JSON.stringify(value, undefined, args.json ? 0 : 2));
    },
  });
}
