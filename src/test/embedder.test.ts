/**
 * The embedder that ships as an example runs and says what it promises.
 * @packageDocumentation
 */
import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { expect, test } from "vitest";

const root = fileURLToPath(new URL("../../", import.meta.url));

test("the embedder keeps the text in force and finds the instances of a pool", async () => {
  const { stdout } = await promisify(execFile)(
    process.execPath,
    ["--import", "tsx", "examples/embedder/main.ts"],
    { cwd: root, timeout: 20_000 },
  );
  await expect(stdout).toMatchFileSnapshot("golden/embedder.txt");
});
