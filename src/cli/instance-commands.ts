/**
 * Commands on instances: move, drain, restore.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { defineCommand } from "citty";
import { sendCommand } from "./operator-client.js";
import { operatorAddress, operatorArguments, reportCommand } from "./shared-arguments.js";

const instanceArguments = {
  instance: { type: "positional", required: true, description: "Identifier of the instance" },
  "change-id": {
    type: "string",
    description: "Identifier of the change; a repeated identifier is carried out only once",
  },
  ...operatorArguments,
} as const;

/** Moves an instance to another pool. */
export const moveCommand = defineCommand({
  meta: { name: "move", description: "Move an instance. Example: dogwoodhoist move target-3 --to quotes" },
  args: {
    ...instanceArguments,
    to: { type: "string", required: true, description: "Pool to move the instance to" },
  },
  run: async ({ args }) => {
    const body = { instanceId: args.instance, pool: args.to, changeId: args["change-id"] ?? randomUUID() };
    reportCommand(await sendCommand(operatorAddress(args), "/operator/move", body), args.json);
  },
});

/** Drains an instance. */
export const drainCommand = defineCommand({
  meta: { name: "drain", description: "Drain an instance. Example: dogwoodhoist drain target-3" },
  args: instanceArguments,
  run: async ({ args }) => {
    const body = { instanceId: args.instance, changeId: args["change-id"] ?? randomUUID() };
    reportCommand(await sendCommand(operatorAddress(args), "/operator/drain", body), args.json);
  },
});

/** Returns an instance to service. */
export const restoreCommand = defineCommand({
  meta: {
    name: "restore",
    description: "Return an instance to service. Example: dogwoodhoist restore target-3",
  },
  args: instanceArguments,
  run: async ({ args }) => {
    const body = { instanceId: args.instance, changeId: args["change-id"] ?? randomUUID() };
    reportCommand(await sendCommand(operatorAddress(args), "/operator/restore", body), args.json);
  },
});
