#!/usr/bin/env node
/**
 * The command line.
 * @packageDocumentation
 */
import { defineCommand, runMain } from "citty";
import { entryCommand } from "./entry-command.js";
import { historyCommand, rollBackCommand, rollOutCommand } from "./history-commands.js";
import { drainCommand, moveCommand, restoreCommand } from "./instance-commands.js";
import { planCommand } from "./plan-command.js";
import { standInCommand } from "./stand-in-command.js";
import { statusCommand } from "./status-command.js";
import { traceCommand } from "./trace-command.js";
import { waveCommand } from "./wave-commands.js";
import { applyCommand, checkCommand, showCommand } from "./text-commands.js";

const main = defineCommand({
  meta: { name: "dogwoodhoist", description: "Fleet capacity and maintenance manager" },
  subCommands: {
    entry: entryCommand,
    check: checkCommand,
    apply: applyCommand,
    show: showCommand,
    history: historyCommand,
    rollback: rollBackCommand,
    rollout: rollOutCommand,
    status: statusCommand,
    move: moveCommand,
    drain: drainCommand,
    restore: restoreCommand,
    plan: planCommand,
    trace: traceCommand,
    wave: waveCommand,
    "stand-in": standInCommand,
  },
});

await runMain(main);
