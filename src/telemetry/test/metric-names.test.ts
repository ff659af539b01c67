/**
 * Checks that docs/METRICS.md lists exactly the metrics that the code records, with their types.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { readPage, readSources, type SourceFile } from "./sources.js";

/** Calls on objects named `metrics` or `...Metrics`; the first argument is a literal or a constant of the module. */
const callPattern =
  /\b[mM]etrics\s*\??\.\s*(count|counter|set|follow|observe|histogram)\(\s*("?)([A-Za-z_]+)\2/g;
const kinds: Readonly<Record<string, string>> = {
  count: "counter",
  counter: "counter",
  set: "gauge",
  observe: "histogram",
  histogram: "histogram",
};

interface WrittenMetric {
  readonly name: string;
  /** Undefined for `follow`, which registers counters and gauges alike. */
  readonly kind: string | undefined;
}

function findMetrics({ text }: SourceFile): WrittenMetric[] {
  return [...text.matchAll(callPattern)].map(([, method = "", quote, word = ""]) => {
    const constant = new RegExp(`const ${word} = "([a-z_]+)"`).exec(text)?.[1];
    const name = quote === "" ? constant : word;
    if (name === undefined) throw new Error(`the name of the metric ${word} cannot be read from the code`);
    return { name, kind: kinds[method] };
  });
}

test("docs/METRICS.md lists exactly the recorded metrics and their types", async () => {
  const page = await readPage("METRICS.md");
  const listed = new Map(
    [...page.matchAll(/^\| `([a-z_]+)`\s*\| (\w+)/gm)].map(([, name = "", kind = ""]) => [name, kind]),
  );
  const files = await readSources("src", "platform");
  // Metrics of the measurement programs are not exposed by an entry.
  const written = files.filter(({ path }) => !path.includes("/measures/")).flatMap(findMetrics);
  expect(written.length).toBeGreaterThan(30);
  expect([...new Set(written.map(({ name }) => name))].sort()).toEqual([...listed.keys()].sort());
  const withKind = written.filter(({ kind }) => kind !== undefined);
  expect(withKind.filter(({ name, kind }) => listed.get(name) !== kind)).toEqual([]);
});
