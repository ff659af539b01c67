/**
 * Commands on the operators' configuration: check, apply, show.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import { userInfo } from "node:os";
import { defineCommand } from "citty";
import { Left, Right, type Either } from "purify-ts";
import { checkConfiguration, warnAboutConfiguration } from "../configuration/index.js";
import { exitCodes } from "./exit-codes.js";
import { sendCommand } from "./operator-client.js";
import { printFromEntry } from "./print-from-entry.js";
import {
  operatorAddress,
  operatorArguments,
  reportCommand,
  reportFailure,
  writeLine,
} from "./shared-arguments.js";

/** Checks a configuration file locally, without connecting to an entry. */
export const checkCommand = defineCommand({
  meta: { name: "check", description: "Check a configuration. Example: dogwoodhoist check text.json" },
  args: {
    text: { type: "positional", required: true, description: "Configuration file in JSON" },
    json: operatorArguments.json,
  },
  run: async ({ args }) => {
    const checked = (await readJson(args.text))
      .mapLeft((message) => [{ path: "", message }])
      .chain(checkConfiguration);
    const faults = checked.swap().orDefault([]);
    const warnings = checked.map(warnAboutConfiguration).orDefault([]);
    if (args.json) {
      writeLine(JSON.stringify({ valid: faults.length === 0, faults, warnings }));
    } else {
      for (const { path, message } of faults) writeLine(`${path}: ${message}`);
      for (const { path, message } of warnings) writeLine(`warning: ${path}: ${message}`);
      if (faults.length === 0) writeLine("the text is valid");
    }
    process.exitCode = faults.length === 0 ? exitCodes.done : exitCodes.failed;
  },
});

/** Sends a configuration to an entry as a change to the base revision. */
export const applyCommand = defineCommand({
  meta: {
    name: "apply",
    description: "Apply a configuration. Example: dogwoodhoist apply text.json --base 4",
  },
  args: {
    text: { type: "positional", required: true, description: "Configuration file in JSON" },
    base: {
      type: "string",
      required: true,
      description: "Revision that the change is based on, 0 for the first configuration",
    },
    "change-id": {
      type: "string",
      description: "Identifier of the change; a repeated identifier is accepted only once",
    },
    ...operatorArguments,
  },
  run: async ({ args }) => {
    const configuration = await readJson(args.text);
    const base = Number(args.base);
    if (configuration.isLeft() || !Number.isInteger(base) || base < 0) {
      const message = configuration.swap().orDefault("--base must be a whole number of 0 or more");
      reportFailure({ exitCode: exitCodes.badUsage, message });
      return;
    }
    const change = {
      changeId: args["change-id"] ?? randomUUID(),
      author: userInfo().username,
      baseRevision: base,
      text: configuration.unsafeCoerce(),
    };
    reportCommand(await sendCommand(operatorAddress(args), "/operator/configuration", change), args.json);
  },
});

/** Shows the configuration in force. */
export const showCommand = defineCommand({
  meta: { name: "show", description: "Show the configuration in force. Example: dogwoodhoist show" },
  args: operatorArguments,
  run: async ({ args }) => printFromEntry(args, "/operator/configuration"),
});

async function readJson(path: string): Promise<Either<string, unknown>> {
  try {
    return Right(JSON.parse(await readFile(path, "utf8")) as unknown);
  } catch (error) {
    return Left(`${path}: ${(error as Error).message}`);
  }
}
