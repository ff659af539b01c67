/**
 * `dogwoodhoist status`: shows an entry, its peers and the instances.
 * @packageDocumentation
 */
import { defineCommand } from "citty";
import type { EntryStatus } from "../operations/index.js";
import { readFromEntry } from "./operator-client.js";
import { operatorAddress, operatorArguments, reportFailure, writeLine } from "./shared-arguments.js";
import { formatTable } from "./table.js";

/** Shows an entry's state. */
export const statusCommand = defineCommand({
  meta: { name: "status", description: "Show an entry's state. Example: dogwoodhoist status" },
  args: operatorArguments,
  run: async ({ args }) => {
    const status = await readFromEntry(operatorAddress(args), "/operator/status");
    status.caseOf({
      Left: reportFailure,
      Right: (value) => {
        if (args.json) writeLine(JSON.stringify(value));
        else formatStatus(value as EntryStatus, process.stdout.isTTY).forEach(writeLine);
      },
    });
  },
});

/**
 * Formats an entry's state for a terminal or a pipe.
 * @param status - response of the entry's status resource
 * @param isTerminal - whether the output goes to a terminal
 * @returns the lines, without line ends
 */
export function formatStatus(status: EntryStatus, isTerminal: boolean): string[] {
  const { entryId, zone, ready, configuration, peers, instances, requestsInProgress } = status;
  const summary = [
    `entry ${entryId} in ${zone}: ${ready ? "ready" : "not ready"}, ${requestsInProgress} requests in progress`,
    `text revision ${configuration.revision}, change ${configuration.changeId ?? "none"}`,
  ];
  const peerRows = peers.map(({ peerId, state, configurationRevision }) => [
    peerId,
    state,
    String(configurationRevision),
  ]);
  const instanceRows = instances.map(({ instanceId, zone: instanceZone, rack, pool, state, moveTo }) => [
    instanceId,
    instanceZone,
    rack,
    pool,
    moveTo === undefined ? state : `${state} to ${moveTo}`,
  ]);
  return [
    ...summary,
    "",
    ...formatTable(["PEER", "STATE", "TEXT REVISION"], peerRows, isTerminal),
    "",
    ...formatTable(["INSTANCE", "ZONE", "RACK", "POOL", "STATE"], instanceRows, isTerminal),
  ];
}
