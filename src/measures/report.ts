/**
 * Writes the figures of a run with all that is needed to run it again.
 * @packageDocumentation
 */
import { cpus, totalmem } from "node:os";
import type { Figure } from "./measure.js";

/** Where and how the figures were measured. */
export interface RunDescription {
  readonly command: string;
  readonly seed: number;
  readonly node: string;
  readonly cores: number;
  readonly memoryGigabytes: number;
}

const bytesPerGigabyte = 1_073_741_824;

/**
 * Describes this run.
 * @param name - the measurement
 * @param seed - its seed
 * @returns the description
 */
export function describeRun(name: string, seed: number): RunDescription {
  return {
    command: `npm run measure -- ${name} --seed ${seed}`,
    seed,
    node: process.version,
    cores: cpus().length,
    memoryGigabytes: Math.round(totalmem() / bytesPerGigabyte),
  };
}

/**
 * Formats a run as text.
 * @param run - the run
 * @param figures - its figures
 * @returns a line for the run and one for each figure
 */
export function formatReport(run: RunDescription, figures: readonly Figure[]): string {
  const head = `${run.command}  (Node.js ${run.node}, ${run.cores} cores, ${run.memoryGigabytes} GB)`;
  const width = Math.max(...figures.map(({ name }) => name.length));
  const lines = figures.map((figure) => formatFigure(figure, width));
  return [head, ...lines].join("\n");
}

function formatFigure({ name, value, unit, baseline, target }: Figure, width: number): string {
  const ratio =
    baseline === undefined ? "" : `  baseline ${round(baseline)}, ratio ${round(value / baseline)}`;
  const aim = target === undefined ? "" : `  target: ${target}`;
  return `  ${name.padEnd(width)}  ${round(value)} ${unit}${ratio}${aim}`;
}

function round(value: number): string {
  return Number(value.toPrecision(4)).toString();
}
