/**
 * docs/METRICS.md lists exactly the metrics that the code writes, each with its kind.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { readPage, readSources, type SourceFile } from "./sources.js";

/** Calls on anything named metrics; the first argument is a literal or a constant of the module. */
const callPattern =
  /\b[mM]etrics\s*\??\.\s*(count|counter|set|follow|observe|histogram)\(\s*("?)([A-Za-z_]+)\2/g;
const kinds: Readonly<Record<string, string>> = {
  count: "counter",
  counter: "counter",
  set: "gauge",
  observe: "histogram",
  histogram: "histogram",
};

interface Written {
  readonly name: string;
  /** Undefined where the call does not tell. */
  readonly kind: string | undefined;
}

function writtenIn({ text }: SourceFile): Written[] {
  return [...text.matchAll(callPattern)].map(([, method = "", quote, word = ""]) => {
    const constant = new RegExp(`const ${word} = "([a-z_]+)"`).exec(text)?.[1];
    const name = quote === "" ? constant : word;
    if (name === undefined) throw new Error(`the name of the metric ${word} cannot be read from the code`);
    return { name, kind: kinds[method] };
  });
}

test("the page of metrics is complete, and tells their kinds", async () => {
  const page = await readPage("METRICS.md");
  const listed = new Map(
    [...page.matchAll(/^\| `([a-z_]+)`\s*\| (\w+)/gm)].map(([, name = "", kind = ""]) => [name, kind]),
  );
  const files = await readSources("src", "platform");
  // What the measures record is theirs, and no entry shows it.
  const written = files.filter(({ path }) => !path.includes("/measures/")).flatMap(writtenIn);
  expect(written.length).toBeGreaterThan(30);
  expect([...new Set(written.map(({ name }) => name))].sort()).toEqual([...listed.keys()].sort());
  const told = written.filter(({ kind }) => kind !== undefined);
  expect(told.filter(({ name, kind }) => listed.get(name) !== kind)).toEqual([]);
});
