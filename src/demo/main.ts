/**
 * The demonstration: a whole fleet in one process, a turn of demand, a move, a drain, a configuration change and a
 * small wave.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { startFleet } from "../stand-ins/index.js";
import { createLog } from "../telemetry/index.js";
import { sendTurn } from "./demand.js";
import { applyChangedConfiguration, drainOne, moveOne, runWave } from "./operator-steps.js";
import { createPromiseTable } from "./promise-table.js";

const seed = 7;
const meanRunMilliseconds = 80;
const turn = { requestsPerSecond: 900, seconds: 5, timeoutMilliseconds: 2_000, seed };

const configuration = JSON.parse(
  await readFile(new URL("../../examples/agency/text.json", import.meta.url), "utf8"),
) as { pools: { minimumInstances: number }[] };
// The demonstration's pools are smaller than the example's, and a wave keeps a pool's minimum.
for (const pool of configuration.pools) pool.minimumInstances = 1;
const log = createLog("info", (line) => {
  process.stdout.write(`${line}\n`);
});
const fleet = await startFleet({
  text: configuration,
  targets: { quotes: 3, portal: 3, spare: 2 },
  entries: 3,
  zones: 3,
  meanRunMilliseconds,
  seed,
  log,
});
log.write("info", "turn-started", { service: "quotes", requestsPerSecond: turn.requestsPerSecond });
const sending = sendTurn(fleet.balancer.address, turn);
const moves = await moveOne(fleet);
const rollOutMilliseconds = await applyChangedConfiguration(fleet, configuration);
const drained = await drainOne(fleet);
const wave = await runWave(fleet);
const answers = await sending;
log.write("info", "turn-ended", { requests: answers.length });
process.stdout.write(
  `\n${createPromiseTable({ fleet, answers, moves, rollOutMilliseconds, drained, wave })}\n`,
);
await fleet.close();
