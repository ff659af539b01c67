/**
 * `dogwoodhoist entry`: runs an entry until the process receives a termination signal.
 * @packageDocumentation
 */
import { defineCommand } from "citty";
import { runEntryDaemon } from "../daemons/index.js";

/** Runs an entry. */
export const entryCommand = defineCommand({
  meta: { name: "entry", description: "Run an entry. Example: dogwoodhoist entry --settings entry-1.json" },
  args: { settings: { type: "string", required: true, description: "Settings file in JSON" } },
  run: async ({ args }) => {
    process.exitCode = await runEntryDaemon(args.settings);
  },
});
