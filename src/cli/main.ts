#!/usr/bin/env node
/**
 * Entry point of the command line. Each command's modules are imported on demand, so that a command doesn't pay the
 * start-up time of the others.
 * @packageDocumentation
 */
import { defineCommand, runMain } from "citty";

const main = defineCommand({
  meta: { name: "dogwoodhoist", description: "Fleet capacity and maintenance manager" },
  subCommands: {
    entry: async () => (await import("./entry-command.js")).entryCommand,
    check: async () => (await import("./configuration-commands.js")).checkCommand,
    apply: async () => (await import("./configuration-commands.js")).applyCommand,
    show: async () => (await import("./configuration-commands.js")).showCommand,
    history: async () => (await import("./history-commands.js")).historyCommand,
    rollback: async () => (await import("./history-commands.js")).rollBackCommand,
    rollout: async () => (await import("./history-commands.js")).rollOutCommand,
    status: async () => (await import("./status-command.js")).statusCommand,
    move: async () => (await import("./instance-commands.js")).moveCommand,
    drain: async () => (await import("./instance-commands.js")).drainCommand,
    restore: async () => (await import("./instance-commands.js")).restoreCommand,
    plan: async () => (await import("./plan-command.js")).planCommand,
    trace: async () => (await import("./trace-command.js")).traceCommand,
    wave: async () => (await import("./wave-commands.js")).waveCommand,
    "stand-in": async () => (await import("./stand-in-command.js")).standInCommand,
  },
});

await runMain(main);
