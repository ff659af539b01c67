/**
 * `dogwoodhoist stand-in`: runs a stand-in for a part of the platform, for tests and experiments.
 * @packageDocumentation
 */
import { defineCommand } from "citty";
import { runStandInDaemon } from "../daemons/index.js";

/** Runs a stand-in. */
export const standInCommand = defineCommand({
  meta: {
    name: "stand-in",
    description: "Run a stand-in of the platform. Example: dogwoodhoist stand-in store --port 2379",
  },
  args: {
    kind: {
      type: "enum",
      options: ["store", "instance-list", "target", "balancer"],
      required: true,
      description: "Kind of stand-in, given as --kind",
    },
    host: { type: "string", default: "127.0.0.1", description: "IP address to listen on" },
    port: { type: "string", default: "0", description: "Port to listen on, 0 for any free port" },
    "instance-id": { type: "string", default: "target-1", description: "Instance identifier of a target" },
    "mean-run-ms": {
      type: "string",
      default: "50",
      description: "Mean run time of a target's tasks in milliseconds",
    },
    "lag-ms": { type: "string", default: "500", description: "Lag of the instance list in milliseconds" },
    seed: { type: "string", default: "1", description: "Seed of a target's run times" },
    entries: {
      type: "string",
      default: "",
      description: "Entries behind the balancer, IP:port separated by commas",
    },
  },
  run: async ({ args }) => {
    process.exitCode = await runStandInDaemon({
      kind: args.kind,
      host: args.host,
      port: Number(args.port),
      instanceId: args["instance-id"],
      meanRunMilliseconds: Number(args["mean-run-ms"]),
      lagMilliseconds: Number(args["lag-ms"]),
      seed: Number(args.seed),
      entries: args.entries.split(",").filter((entry) => entry !== ""),
    });
  },
});
