/**
 * The table that ends the demonstration: promises and measures as this run showed them.
 * @packageDocumentation
 */
import type { Target } from "../pools/index.js";
import type { Fleet, TargetCounts } from "../stand-ins/index.js";
import type { CallerAnswer } from "./demand.js";
import type { WaveResult } from "./operator-steps.js";

/** What the run left behind. */
export interface DemoResult {
  readonly fleet: Fleet;
  readonly answers: readonly CallerAnswer[];
  readonly moves: number;
  readonly rollOutMilliseconds: number;
  readonly drained: Target | undefined;
  readonly wave: WaveResult;
}

/** What a run showed of a promise; one whose end it did not reach is not judged. */
type Verdict = "kept" | "BROKEN" | "not judged";

interface Row {
  readonly name: string;
  readonly measured: string;
  readonly verdict: Verdict;
}

const verdictWidth = "not judged".length;

/**
 * Writes the table.
 * @param result - what the run left behind
 * @returns the table, a line for each promise and measure
 */
export function createPromiseTable(result: DemoResult): string {
  const rows = createRows(result);
  const width = Math.max(...rows.map(({ name }) => name.length));
  const lines = rows.map(
    ({ name, measured, verdict }) => `${verdict.padEnd(verdictWidth)}  ${name.padEnd(width)}  ${measured}`,
  );
  return [...lines, "", ...createMeasures(result)].join("\n");
}

function createRows({ fleet, answers, drained, wave }: DemoResult): Row[] {
  const counts = fleet.targets.map((target) => target.counts());
  const answered = answers.filter(({ outcome }) => outcome === "answered");
  const foreign = answered.filter(({ own }) => !own).length;
  const untrue = answers.filter(
    ({ outcome, requestId }) => outcome === "refused" && wasRun(counts, requestId),
  );
  const repeated = counts.flatMap(({ runs }) => Object.values(runs)).filter((runs) => runs > 1).length;
  const unanswered = answers.filter(({ outcome }) => outcome !== "answered" && outcome !== "refused");
  // A run that outlasts its caller's time was not cut by a stop; it is counted below the table.
  const cut = unanswered.filter(({ reason }) => reason !== "timeout").length;
  const late = lateStarts(fleet, drained);
  return [
    {
      name: "whole, own answers",
      measured: `${answered.length} answered, ${foreign} not own`,
      verdict: judge(foreign === 0),
    },
    {
      name: "not run means not run",
      measured: `${untrue.length} refused but run`,
      verdict: judge(untrue.length === 0),
    },
    { name: "at most one run", measured: `${repeated} requests run twice`, verdict: judge(repeated === 0) },
    { name: "planned stops cut nothing", measured: `${cut} requests cut`, verdict: judge(cut === 0) },
    {
      name: "a wave cuts no run",
      measured: `${wave.state}, ${wave.reboots} reboots, ${wave.cut} runs cut`,
      verdict: judgeWave(wave),
    },
    { name: "leaving target gets no work", ...late },
    { name: "one pool for an instance", ...poolsAgree(fleet) },
  ];
}

function wasRun(counts: readonly TargetCounts[], requestId: string): boolean {
  return counts.some(({ runs }) => (runs[requestId] ?? 0) > 0);
}

function judge(isKept: boolean): Verdict {
  return isKept ? "kept" : "BROKEN";
}

/** A wave that goes on when the time of the demonstration is over has shown nothing but what it cut. */
function judgeWave({ state, cut }: WaveResult): Verdict {
  if (cut > 0) return "BROKEN";
  return state === "running" ? "not judged" : judge(state === "finished");
}

function lateStarts(fleet: Fleet, drained: Target | undefined): Omit<Row, "name"> {
  if (drained === undefined) return { measured: "the drain did not end", verdict: "not judged" };
  const target = fleet.targets.find(({ instanceId }) => instanceId === drained.instanceId);
  const after = (target?.counts().lastStartedAt ?? Infinity) - drained.since;
  return {
    measured: `last start ${Math.abs(after)} ms ${after > 0 ? "after" : "before"} the stop`,
    verdict: judge(after <= 0),
  };
}

function poolsAgree(fleet: Fleet): Omit<Row, "name"> {
  const views = fleet.entries.map(({ placement }) =>
    JSON.stringify(
      placement
        .all()
        .map(({ instanceId, pool }) => [instanceId, pool])
        .sort(),
    ),
  );
  const different = new Set(views).size;
  return {
    measured: `${different} different views in ${views.length} entries`,
    verdict: judge(different === 1),
  };
}

function createMeasures({ fleet, answers, moves, rollOutMilliseconds }: DemoResult): string[] {
  const refused = answers.filter(({ outcome }) => outcome === "refused").length;
  const late = answers.filter(({ reason }) => reason === "timeout").length;
  const spare = fleet.entries[0]?.placement.serving("spare").length ?? 0;
  return [
    `answers        ${answers.length - refused - late} answered, ${refused} refused at once, ${late} runs outlasted their time, of ${answers.length}`,
    `buffer cost    ${spare} of ${fleet.targets.length} instances held back at the end`,
    `roll-out time  ${rollOutMilliseconds.toFixed(0)} ms until in force in ${fleet.entries.length} entries`,
    `moves          ${moves}`,
  ];
}
