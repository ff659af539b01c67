/**
 * `dogwoodhoist trace`: prints the timeline of one job, merged from the logs of several entries.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { defineCommand } from "citty";
import { readJobTimeline } from "../telemetry/index.js";
import { exitCodes } from "./exit-codes.js";
import { writeLine } from "./shared-arguments.js";

/** Prints a job's timeline; exits with 1 if no line names the job or a log cannot be read. */
export const traceCommand = defineCommand({
  meta: {
    name: "trace",
    description:
      "Print the timeline of a job, effects after their causes. Example: dogwoodhoist trace 5c0e7a21d94b36f8 edge-1.log edge-2.log",
  },
  args: {
    job: { type: "positional", description: "Identifier of the job" },
    json: { type: "boolean", default: false, description: "Print JSON, with the fields of each log line" },
  },
  run: async ({ args }) => {
    const paths = args._.slice(1);
    if (args.job === undefined || paths.length === 0) {
      process.stderr.write("trace: a job identifier and at least one log file are required\n");
      process.exitCode = exitCodes.badUsage;
      return;
    }
    const logs = new Map<string, string>();
    for (const path of paths) {
      const content = await readFile(path, "utf8").catch((error: unknown) => error as Error);
      if (typeof content === "string") logs.set(path, content);
      else process.stderr.write(`trace: ${path}: ${content.message}\n`);
    }
    const timeline = readJobTimeline(logs, args.job);
    if (args.json) writeLine(JSON.stringify(timeline));
    else for (const { source, text } of timeline) writeLine(`${source}: ${text}`);
    if (timeline.length === 0 || logs.size < paths.length) process.exitCode = exitCodes.failed;
  },
});
