/**
 * `dogwoodhoist plan`: shows the capacity plan without carrying it out.
 * @packageDocumentation
 */
import { defineCommand } from "citty";
import * as z from "zod";
import { parseWith } from "../shared/index.js";
import { exitCodes } from "./exit-codes.js";
import { readFromEntry } from "./operator-client.js";
import { operatorAddress, operatorArguments, reportFailure, writeLine } from "./shared-arguments.js";

const planPath = "/operator/plan";

const reportSchema = z.object({
  holder: z.string().optional(),
  decisions: z.array(
    z.discriminatedUnion("action", [
      z.object({
        action: z.literal("move"),
        instanceId: z.string(),
        from: z.string(),
        to: z.string(),
        reason: z.string(),
      }),
      z.object({
        action: z.enum(["hold", "shortage"]),
        pool: z.string(),
        held: z.number(),
        required: z.number(),
        reason: z.string(),
      }),
    ]),
  ),
});

type Decision = z.infer<typeof reportSchema>["decisions"][number];

/** Shows the decisions that the capacity planner would make. */
export const planCommand = defineCommand({
  meta: {
    name: "plan",
    description: "Show the decisions of the capacity planner. Example: dogwoodhoist plan --dry-run",
  },
  args: {
    ...operatorArguments,
    "dry-run": {
      type: "boolean",
      default: false,
      description: "Show the plan without starting any moves (required)",
    },
  },
  run: async ({ args }) => {
    if (!args["dry-run"]) {
      process.exitCode = exitCodes.badUsage;
      process.stderr.write(
        "plan requires --dry-run: only the entry that holds the capacity leader role carries out plans\n",
      );
      return;
    }
    const report = await readFromEntry(operatorAddress(args), planPath);
    report.caseOf({
      Left: reportFailure,
      Right: (value) => {
        writeReport(value, args.json);
      },
    });
  },
});

function writeReport(value: unknown, json: boolean): void {
  parseWith(reportSchema, value).caseOf({
    Left: (faults) => {
      process.exitCode = exitCodes.failed;
      process.stderr.write(`the entry sent an invalid response: ${faults[0]?.path ?? ""}\n`);
    },
    Right: ({ holder, decisions }) => {
      if (json) writeLine(JSON.stringify(value));
      else [`planned by ${holder ?? "no entry yet"}`, ...decisions.map(formatDecision)].forEach(writeLine);
      if (holder === undefined) process.exitCode = exitCodes.failed;
    },
  });
}

function formatDecision(decision: Decision): string {
  if (decision.action === "move") {
    return `move ${decision.instanceId} from ${decision.from} to ${decision.to}: ${decision.reason}`;
  }
  const { action, pool, held, required, reason } = decision;
  return `${action} ${pool}: holds ${held}, requires ${required}: ${reason}`;
}
