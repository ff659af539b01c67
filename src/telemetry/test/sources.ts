/**
 * Reads source files and documentation pages for tests that compare them.
 * @packageDocumentation
 */
import { readdir, readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../../", import.meta.url));

/** A source file with its absolute path. */
export interface SourceFile {
  readonly path: string;
  readonly text: string;
}

/**
 * Reads all TypeScript files in folders and their subfolders, except tests.
 * @param folders - paths relative to the root of the repository
 * @returns the files
 */
export async function readSources(...folders: readonly string[]): Promise<SourceFile[]> {
  const paths = await Promise.all(folders.map(listSources));
  return Promise.all(paths.flat().map(async (path) => ({ path, text: await readFile(path, "utf8") })));
}

/**
 * Reads a documentation page.
 * @param name - path relative to the docs folder
 * @returns its content
 */
export async function readPage(name: string): Promise<string> {
  return readFile(`${root}docs/${name}`, "utf8");
}

async function listSources(folder: string): Promise<string[]> {
  const files = await readdir(`${root}${folder}`, { recursive: true });
  const sources = files.filter((path) => path.endsWith(".ts") && !path.includes("test/"));
  return sources.map((path) => `${root}${folder}/${path}`);
}
