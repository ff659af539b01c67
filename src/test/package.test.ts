/**
 * The package holds what it should and nothing else. `npm test` builds it before the tests.
 * @packageDocumentation
 */
import { execFileSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const root = fileURLToPath(new URL("../../", import.meta.url));
const allowed = /^(dist|docs|schemas|examples)\/|^(README\.md|LICENSE|package\.json)$/;

test("the package holds the library, the commands, the pages and the schemas", () => {
  const output = execFileSync("npm", ["pack", "--dry-run", "--json", "--ignore-scripts"], { cwd: root });
  const [pack] = JSON.parse(output.toString()) as { files: { path: string }[] }[];
  const files = pack?.files.map(({ path }) => path) ?? [];
  expect(files).toEqual(
    expect.arrayContaining([
      "dist/index.js",
      "dist/index.d.ts",
      "dist/cli/main.js",
      "schemas/entry-settings.schema.json",
      "README.md",
      "LICENSE",
    ]),
  );
  expect(files.filter((path) => !allowed.test(path) || path.includes("/test/"))).toEqual([]);
});

test("the built library gives its parts by name", async () => {
  const library = (await import(new URL("../../dist/index.js", import.meta.url).href)) as Record<
    string,
    unknown
  >;
  const parts = [
    "startEntry",
    "createConfigurationKeeper",
    "createPeerNetwork",
    "createMover",
    "EtcdStoreClient",
  ];
  expect(parts.filter((part) => typeof library[part] !== "function")).toEqual([]);
});
