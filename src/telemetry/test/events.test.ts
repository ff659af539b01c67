/**
 * Checks that docs/EVENTS.md lists exactly the events that the code logs.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { readPage, readSources } from "./sources.js";

const eventPattern = /\.write\(\s*(?:"(?:debug|info|warn|error)"|[a-zA-Z]+),\s*([^;]*?)\s*(?:,\s*\{|\))/gs;

async function findWrittenEvents(): Promise<Set<string>> {
  const files = await readSources("src", "platform");
  const calls = files.flatMap(({ text }) => [...text.matchAll(eventPattern)].map(([, event]) => event ?? ""));
  const names = calls.flatMap((event) =>
    [...event.matchAll(/"([a-z]+(?:-[a-z]+)*)"/g)].map(([, name]) => name),
  );
  return new Set(names.filter((name): name is string => name !== undefined));
}

test("docs/EVENTS.md lists exactly the logged events", async () => {
  const page = await readPage("EVENTS.md");
  const listed = [...page.matchAll(/^\| `([a-z-]+)`/gm)].map(([, name]) => name);
  const written = await findWrittenEvents();
  expect(written.size).toBeGreaterThan(10);
  expect([...written].sort()).toEqual(listed.sort());
});
