/**
 * The stand-ins as processes of their own.
 * @packageDocumentation
 */
import { once } from "node:events";
import {
  startBalancerStandIn,
  startInstanceListStandIn,
  startStoreStandIn,
  startTargetStandIn,
} from "../stand-ins/index.js";

/** Kinds of stand-ins that run as processes. */
export type StandInKind = "store" | "instance-list" | "target" | "balancer";

/** Settings of a stand-in process. */
export interface StandInDaemonOptions {
  readonly kind: StandInKind;
  readonly host: string;
  readonly port: number;
  readonly instanceId: string;
  readonly meanRunMilliseconds: number;
  readonly lagMilliseconds: number;
  readonly seed: number;
  /** Request addresses of the entries, for the balancer. */
  readonly entries: readonly string[];
}

interface RunningStandIn {
  readonly address: string;
  close(): Promise<void>;
}

/**
 * Runs a stand-in until SIGTERM or SIGINT. Its address is written to standard output.
 * @param options - which stand-in
 * @returns the exit code
 */
export async function runStandInDaemon(options: StandInDaemonOptions): Promise<number> {
  const standIn = await startStandIn(options);
  process.stdout.write(`${JSON.stringify({ kind: options.kind, address: standIn.address })}\n`);
  await Promise.race([once(process, "SIGTERM"), once(process, "SIGINT")]);
  await standIn.close();
  return 0;
}

async function startStandIn(options: StandInDaemonOptions): Promise<RunningStandIn> {
  const { host, port } = options;
  switch (options.kind) {
    case "store":
      return startStoreStandIn(host, port);
    case "instance-list":
      return startInstanceListStandIn(options.lagMilliseconds, host, port);
    case "target":
      return startTargetStandIn(options);
    case "balancer":
      return startBalancerStandIn(options.entries, host, port);
  }
}
