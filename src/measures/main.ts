/**
 * `npm run measure -- NAME [--seed N] [--json]`.
 * @packageDocumentation
 */
import { defineCommand, runMain } from "citty";
import { measures } from "./registry.js";
import { describeRun, formatReport } from "./report.js";

const main = defineCommand({
  meta: { name: "measure", description: "Run a measurement. Example: npm run measure -- turn --seed 1" },
  args: {
    name: { type: "positional", required: true, description: "Name of the measurement" },
    seed: { type: "string", default: "1", description: "Seed of all randomness" },
    json: { type: "boolean", default: false, description: "Write JSON" },
  },
  run: async ({ args }) => {
    const measure = measures.find(({ name }) => name === args.name);
    if (measure === undefined) {
      const names = measures.map(({ name, description }) => `  ${name}  ${description}\n`).join("");
      process.stderr.write(`there is no measurement "${args.name}"; there are:\n${names}`);
      process.exitCode = 2;
      return;
    }
    const seed = Number(args.seed);
    const figures = await measure.run(seed);
    const run = describeRun(measure.name, seed);
    process.stdout.write(`${args.json ? JSON.stringify({ ...run, figures }) : formatReport(run, figures)}\n`);
  },
});

await runMain(main);
