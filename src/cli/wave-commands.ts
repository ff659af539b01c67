/**
 * Commands on maintenance waves: start, pause, resume, abort, show.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { defineCommand } from "citty";
import { sendCommand } from "./operator-client.js";
import { operatorAddress, operatorArguments, reportCommand } from "./shared-arguments.js";

const waveArguments = {
  wave: { type: "positional", required: true, description: "Identifier of the wave" },
  ...operatorArguments,
} as const;

const changeArguments = {
  ...waveArguments,
  "change-id": {
    type: "string",
    description: "Identifier of the change; a repeated identifier is carried out only once",
  },
} as const;

const startCommand = defineCommand({
  meta: {
    name: "start",
    description: "Start a wave. Example: dogwoodhoist wave start december --zones zone-1 --batch-size 4",
  },
  args: {
    ...waveArguments,
    pools: { type: "string", default: "", description: "Pools, separated by commas; empty for all" },
    zones: {
      type: "string",
      default: "",
      description: "Availability zones, separated by commas; empty for all",
    },
    "first-batch-size": { type: "string", description: "Maximum number of instances in the first batch" },
    "batch-size": { type: "string", description: "Maximum number of instances in each later batch" },
    "watch-seconds": {
      type: "string",
      description: "Seconds between the end of the first batch and the start of the second",
    },
    "drain-bound-seconds": {
      type: "string",
      description: "Drain time in seconds after which an instance is marked needs-operator",
    },
    "reboot-bound-seconds": {
      type: "string",
      description: "Reboot time in seconds after which a reboot counts as failed",
    },
    "pool-share": { type: "string", description: "Maximum share of a pool that is out of service at a time" },
    "budget-share": { type: "string", description: "Minimum remaining share of each service's budget" },
    "usual-failures": {
      type: "string",
      description: "Usual share of failed reboots; the wave halts on significantly more",
    },
  },
  run: async ({ args }) => {
    const limits = {
      firstBatchSize: toNumber(args["first-batch-size"]),
      batchSize: toNumber(args["batch-size"]),
      watchSeconds: toNumber(args["watch-seconds"]),
      drainBoundSeconds: toNumber(args["drain-bound-seconds"]),
      rebootBoundSeconds: toNumber(args["reboot-bound-seconds"]),
      poolShare: toNumber(args["pool-share"]),
      minimumBudgetShare: toNumber(args["budget-share"]),
      usualFailureShare: toNumber(args["usual-failures"]),
    };
    const body = { waveId: args.wave, pools: splitNames(args.pools), zones: splitNames(args.zones), limits };
    reportCommand(await sendCommand(operatorAddress(args), "/operator/wave/start", body), args.json);
  },
});

const pauseCommand = defineCommand({
  meta: {
    name: "pause",
    description: "Pause a wave: start no more drains. Example: dogwoodhoist wave pause december",
  },
  args: changeArguments,
  run: async ({ args }) => {
    const body = { waveId: args.wave, changeId: args["change-id"] ?? randomUUID() };
    reportCommand(await sendCommand(operatorAddress(args), "/operator/wave/pause", body), args.json);
  },
});

const resumeCommand = defineCommand({
  meta: {
    name: "resume",
    description: "Resume a paused or halted wave. Example: dogwoodhoist wave resume december",
  },
  args: changeArguments,
  run: async ({ args }) => {
    const body = { waveId: args.wave, changeId: args["change-id"] ?? randomUUID() };
    reportCommand(await sendCommand(operatorAddress(args), "/operator/wave/resume", body), args.json);
  },
});

const abortCommand = defineCommand({
  meta: {
    name: "abort",
    description: "Abort a wave and revert its drains. Example: dogwoodhoist wave abort december",
  },
  args: changeArguments,
  run: async ({ args }) => {
    const body = { waveId: args.wave, changeId: args["change-id"] ?? randomUUID() };
    reportCommand(await sendCommand(operatorAddress(args), "/operator/wave/abort", body), args.json);
  },
});

const showCommand = defineCommand({
  meta: { name: "show", description: "Show the current or last wave. Example: dogwoodhoist wave show" },
  args: operatorArguments,
  run: async ({ args }) => {
    reportCommand(await sendCommand(operatorAddress(args), "/operator/wave/show", {}), args.json);
  },
});

/** Groups the commands on waves. */
export const waveCommand = defineCommand({
  meta: { name: "wave", description: "Reboot instances in bounded batches" },
  subCommands: {
    start: startCommand,
    pause: pauseCommand,
    resume: resumeCommand,
    abort: abortCommand,
    show: showCommand,
  },
});

function toNumber(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

function splitNames(text: string): string[] {
  return text.split(",").filter((name) => name !== "");
}
