/**
 * `dogwoodhoist trace`: prints one job's story from the logs of many entries.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { defineCommand } from "citty";
import { readJobTimeline } from "../telemetry/index.js";
import { exitCodes } from "./exit-codes.js";
import { writeLine } from "./shared-arguments.js";

/** Prints a job's story. */
export const traceCommand = defineCommand({
  meta: {
    name: "trace",
    description:
      "Print one job's story, effects after their causes. Example: dogwoodhoist trace 5c0e7a21d94b36f8 edge-1.log edge-2.log",
  },
  args: {
    job: { type: "positional", description: "The job's identifier" },
    json: { type: "boolean", default: false, description: "Write JSON, each line with its fields" },
  },
  run: async ({ args }) => {
    const paths = args._.slice(1);
    if (args.job === undefined || paths.length === 0) {
      process.stderr.write("trace: name a job and at least one log\n");
      process.exitCode = exitCodes.badUsage;
      return;
    }
    const logs = new Map<string, string>();
    for (const path of paths) {
      const text = await readFile(path, "utf8").catch((error: unknown) => error as Error);
      if (typeof text === "string") logs.set(path, text);
      else process.stderr.write(`trace: ${path}: ${text.message}\n`);
    }
    const story = readJobTimeline(logs, args.job);
    if (args.json) writeLine(JSON.stringify(story));
    else for (const { source, text } of story) writeLine(`${source}: ${text}`);
    if (story.length === 0 || logs.size < paths.length) process.exitCode = exitCodes.failed;
  },
});
