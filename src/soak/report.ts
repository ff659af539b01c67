/**
 * Formats the result of a soak as text.
 * @packageDocumentation
 */
import { groupBy } from "./group-by.js";
import type { SoakHistory } from "./history.js";
import { hasSettled, readFacts, type HistoryFacts } from "./promises/facts.js";
import { processorShortage } from "./processor-watch.js";
import type { SoakResult } from "./soak.js";
import { soakBounds } from "./bounds.js";

const millisecondsPerSecond = 1_000;
const percent = 100;

function formatTime(history: SoakHistory, at: number): string {
  return `${((at - history.startedAt) / millisecondsPerSecond).toFixed(3)} s`;
}

function countBy<Item>(items: readonly Item[], name: (item: Item) => string): string {
  const counts = [...groupBy(items, name)].map(([key, group]) => `${key} ${group.length}`);
  return counts.length === 0 ? "none" : counts.sort().join(", ");
}

/** The share of the soak's seconds in which no fault was active, including its aftermath. */
function measureCalm({ history, isCalm }: HistoryFacts): number {
  const count = Math.floor((history.endedAt - history.startedAt) / millisecondsPerSecond);
  const seconds = Array.from(
    { length: count },
    (_, second) => history.startedAt + second * millisecondsPerSecond,
  );
  return seconds.filter((at) => isCalm(at, at + millisecondsPerSecond)).length / count;
}

/**
 * Formats a result as a report.
 * @param result - the result of the soak
 * @returns lines of text: seed, faults, counts and each broken promise
 */
export function formatReport({ seed, history, violations, longestHoldUpMilliseconds }: SoakResult): string {
  const facts = readFacts(history, soakBounds);
  const accepted = facts.jobs.filter(({ acceptedAt }) => acceptedAt !== undefined);
  const lastStates = accepted.map(({ requests }) => requests.findLast(({ state }) => state !== undefined));
  const injected = history.faults.filter(({ name }) => name !== processorShortage);
  const shortages = history.faults.filter(({ name }) => name === processorShortage);
  const shortagesByProcess = [...groupBy(shortages, ({ subject }) => subject)].map(([subject, spans]) => {
    const sum = spans.reduce((total, { from, to }) => total + to - from, 0);
    return `${subject} ${(sum / millisecondsPerSecond).toFixed(1)} s`;
  });
  const faults = injected.map(
    ({ name, subject, from, to }) =>
      `  ${formatTime(history, from)} to ${formatTime(history, to)} ${name} ${subject}`,
  );
  const violationLines = violations.map(
    ({ promise, at, subjects, detail }) =>
      `  ${formatTime(history, at)} ${promise} [${subjects.join(" ")}] ${detail}`,
  );
  return [
    `seed ${seed}`,
    `faults played: ${injected.length}`,
    ...faults,
    `jobs: ${history.jobs.size} handed in, ${accepted.length} accepted; last states: ${countBy(lastStates, (last) => last?.state ?? "unknown")}`,
    `runs: ${history.runs.length}; ends: ${countBy(history.runs, ({ how }) => how ?? "running")}`,
    `requests: ${history.requests.length}; ${countBy(history.requests, ({ kind, end, status }) => `${kind}/${end === "answered" ? status : end}`)}`,
    `machine orders: ${countBy(history.machines, ({ kind }) => kind)}; waves ${history.waves.length}, complete ${history.waves.filter(({ completeAt }) => completeAt !== undefined).length}`,
    `processes: ${countBy(history.processes, ({ kind }) => kind)}; stand-ins held up at most ${Math.round(longestHoldUpMilliseconds)} ms`,
    `short of processor time: ${shortagesByProcess.length === 0 ? "none" : shortagesByProcess.join(", ")}`,
    `calm: ${Math.round(measureCalm(facts) * percent)} percent of the time`,
    hasSettled(history, soakBounds, history.endedAt)
      ? "settled: yes"
      : "settled: no, what must hold after the last fault was not judged",
    `broken promises: ${violations.length}`,
    ...violationLines,
  ].join("\n");
}
