/**
 * The report of a soak as text.
 * @packageDocumentation
 */
import { groupBy } from "./group-by.js";
import type { SoakHistory } from "./history.js";
import { readFacts } from "./promises/facts.js";
import type { SoakResult } from "./soak.js";
import { soakBounds } from "./bounds.js";

const millisecondsPerSecond = 1_000;

function formatTime(history: SoakHistory, at: number): string {
  return `${((at - history.startedAt) / millisecondsPerSecond).toFixed(3)} s`;
}

function countBy<Item>(items: readonly Item[], name: (item: Item) => string): string {
  const counts = [...groupBy(items, name)].map(([key, group]) => `${key} ${group.length}`);
  return counts.length === 0 ? "none" : counts.sort().join(", ");
}

/**
 * Formats a result.
 * @param result - the soak's result
 * @returns lines of text: seed, faults, figures and each broken promise
 */
export function formatReport({ seed, history, violations, longestHoldUpMilliseconds }: SoakResult): string {
  const facts = readFacts(history, soakBounds);
  const accepted = facts.jobs.filter(({ acceptedAt }) => acceptedAt !== undefined);
  const lastStates = accepted.map(({ requests }) => requests.findLast(({ state }) => state !== undefined));
  const faults = history.faults.map(
    ({ name, subject, from, to }) =>
      `  ${formatTime(history, from)} to ${formatTime(history, to)} ${name} ${subject}`,
  );
  const broken = violations.map(
    ({ promise, at, subjects, detail }) =>
      `  ${formatTime(history, at)} ${promise} [${subjects.join(" ")}] ${detail}`,
  );
  return [
    `seed ${seed}`,
    `faults played: ${history.faults.length}`,
    ...faults,
    `jobs: ${history.jobs.size} handed in, ${accepted.length} accepted; last states: ${countBy(lastStates, (last) => last?.state ?? "unknown")}`,
    `runs: ${history.runs.length}; ends: ${countBy(history.runs, ({ how }) => how ?? "running")}`,
    `requests: ${history.requests.length}; ${countBy(history.requests, ({ kind, end, status }) => `${kind}/${end === "answered" ? status : end}`)}`,
    `machine orders: ${countBy(history.machines, ({ kind }) => kind)}; waves ${history.waves.length}, complete ${history.waves.filter(({ completeAt }) => completeAt !== undefined).length}`,
    `processes: ${countBy(history.processes, ({ kind }) => kind)}; stand-ins held up at most ${Math.round(longestHoldUpMilliseconds)} ms`,
    `broken promises: ${violations.length}`,
    ...broken,
  ].join("\n");
}
