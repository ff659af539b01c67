/**
 * What a new configuration of many workspaces and keys takes of an entry, and what a call's key takes.
 * @packageDocumentation
 */
import { createRandom, type Random } from "../shared/index.js";
import {
  createWorkspaceTable,
  describeWorkspaceChanges,
  type WorkspaceDefinition,
  type WorkspaceTable,
} from "../workspaces/index.js";
import type { Figure, Measure } from "./measure.js";
import { measureHeap, measureProcessorTime } from "./slopes/cost.js";

interface Size {
  readonly workspaces: number;
  readonly keys: number;
}

const sizes: readonly Size[] = [
  { workspaces: 37, keys: 1_000 },
  { workspaces: 370, keys: 10_000 },
];
const reloads = 30;
const lookups = 100_000;
const keyDigits = 20;
const highestDigit = 35;
/** One key in so many is exchanged by the next configuration. */
const exchangedOneIn = 10;
const microsecondsPerMillisecond = 1_000;

/** Measures the table of workspaces; reading the configuration is not part of it. */
export const workspacesMeasure: Measure = {
  name: "workspaces",
  description: "a reload of workspaces and keys, and the look-up of a call's key",
  run: async (seed) => {
    const figures: Figure[] = [];
    for (const size of sizes) figures.push(...(await measureSize(size, createRandom(seed))));
    return figures;
  },
};

async function measureSize(size: Size, random: Random): Promise<Figure[]> {
  const definitions = createDefinitions(size, random);
  const next = exchangeKeys(definitions, random);
  const { value: table, bytes } = await measureHeap(() => createTable(definitions));
  const reload = await measureProcessorTime(reloads, () => {
    describeWorkspaceChanges(table, createTable(next));
  });
  const keys = definitions.flatMap(({ keys: own }) => own);
  const lookup = await measureProcessorTime(lookups, (repeat) => {
    table.findByKey(keys[repeat % keys.length] ?? "");
  });
  const name = `${size.workspaces} workspaces, ${size.keys} keys`;
  return [
    { name: `${name}: reload`, value: reload / microsecondsPerMillisecond, unit: "ms" },
    { name: `${name}: heap of a table`, value: bytes, unit: "bytes" },
    { name: `${name}: look-up of a key`, value: lookup, unit: "µs" },
  ];
}

function createTable(definitions: readonly WorkspaceDefinition[]): WorkspaceTable {
  return createWorkspaceTable(definitions).unsafeCoerce();
}

function createDefinitions({ workspaces, keys }: Size, random: Random): WorkspaceDefinition[] {
  const cap = { cpuMillicores: 100_000, memoryMegabytes: 200_000, accelerators: 0 };
  const owned = Array.from({ length: workspaces }, (): string[] => []);
  for (let key = 0; key < keys; key += 1) owned[key % workspaces]?.push(createKey(random));
  return owned.map((own, index) => ({ name: `workspace-${index}`, weight: 1, cap, keys: own }));
}

function exchangeKeys(definitions: readonly WorkspaceDefinition[], random: Random): WorkspaceDefinition[] {
  return definitions.map((definition) => ({
    ...definition,
    keys: definition.keys.map((key) => (random.integer(1, exchangedOneIn) === 1 ? createKey(random) : key)),
  }));
}

function createKey(random: Random): string {
  const digits = Array.from({ length: keyDigits }, () => random.integer(0, highestDigit).toString(36));
  return digits.join("");
}
