/**
 * The code's and the pages' text, for tests that compare them.
 * @packageDocumentation
 */
import { readdir, readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../../", import.meta.url));

/** A file of the code. */
export interface SourceFile {
  readonly path: string;
  readonly text: string;
}

/**
 * Reads the code, tests left out.
 * @param folders - folders of the repository
 * @returns the files
 */
export async function readSources(...folders: readonly string[]): Promise<SourceFile[]> {
  const paths = await Promise.all(folders.map(listSources));
  return Promise.all(paths.flat().map(async (path) => ({ path, text: await readFile(path, "utf8") })));
}

/**
 * Reads a page.
 * @param name - its name within the pages' folder
 * @returns its text
 */
export async function readPage(name: string): Promise<string> {
  return readFile(`${root}docs/${name}`, "utf8");
}

async function listSources(folder: string): Promise<string[]> {
  const files = await readdir(`${root}${folder}`, { recursive: true });
  const sources = files.filter((path) => path.endsWith(".ts") && !path.includes("test/"));
  return sources.map((path) => `${root}${folder}/${path}`);
}
