/**
 * Runs a stand-in for a part of the platform as a separate process.
 * @packageDocumentation
 */
import { once } from "node:events";
import {
  startBalancerStandIn,
  startInstanceListStandIn,
  startStoreStandIn,
  startTargetStandIn,
} from "../stand-ins/index.js";

/** Kinds of stand-ins that can run as a process. */
export type StandInKind = "store" | "instance-list" | "target" | "balancer";

/** Options of a stand-in process; each kind uses only some of them. */
export interface StandInDaemonOptions {
  readonly kind: StandInKind;
  readonly host: string;
  readonly port: number;
  /** Instance that a target stands in for. */
  readonly instanceId: string;
  /** Mean duration of a target's runs. */
  readonly meanRunMilliseconds: number;
  /** Delay with which the instance list shows changes. */
  readonly lagMilliseconds: number;
  /** Seed of a target's random numbers. */
  readonly seed: number;
  /** Request addresses of the entries between which the balancer distributes requests. */
  readonly entries: readonly string[];
}

interface RunningStandIn {
  readonly address: string;
  close(): Promise<void>;
}

/**
 * Runs a stand-in until SIGTERM or SIGINT. Its kind and address are written to standard output as one line of JSON.
 * @param options - kind, address and behaviour of the stand-in
 * @returns the exit code, always 0; rejects when the stand-in cannot start
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
