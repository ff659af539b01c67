/**
 * docs/EVENTS.md lists exactly the events that the code writes.
 * @packageDocumentation
 */
import { readdir, readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const root = fileURLToPath(new URL("../../../", import.meta.url));
const eventPattern = /\.write\(\s*(?:"(?:debug|info|warn|error)"|[a-zA-Z]+),\s*([^;]*?)\s*(?:,\s*\{|\))/gs;

async function writtenEvents(): Promise<Set<string>> {
  const files = await readdir(`${root}src`, { recursive: true });
  const sources = files.filter((path) => path.endsWith(".ts") && !path.includes("test/"));
  const texts = await Promise.all(sources.map(async (path) => readFile(`${root}src/${path}`, "utf8")));
  const calls = texts.flatMap((text) => [...text.matchAll(eventPattern)].map(([, event]) => event ?? ""));
  const names = calls.flatMap((event) =>
    [...event.matchAll(/"([a-z]+(?:-[a-z]+)*)"/g)].map(([, name]) => name),
  );
  return new Set(names.filter((name): name is string => name !== undefined));
}

test("the page of events is complete", async () => {
  const page = await readFile(`${root}docs/EVENTS.md`, "utf8");
  const listed = [...page.matchAll(/^\| `([a-z-]+)`/gm)].map(([, name]) => name);
  const written = await writtenEvents();
  expect(written.size).toBeGreaterThan(10);
  expect([...written].sort()).toEqual(listed.sort());
});
