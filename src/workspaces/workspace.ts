/**
 * Workspaces: callers who share a fleet. The operators' configuration gives each its keys, its weight and its cap.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { Resources } from "../jobs/index.js";
import { KeyDirectory } from "./key-directory.js";

/** A workspace as decisions see it. */
export interface Workspace {
  readonly name: string;
  /** Its share of a full pool against those of the others; also the jobs a second that it may count on. */
  readonly weight: number;
  /** What it may have running in all pools together; 0 of a resource means no limit on that resource. */
  readonly cap: Resources;
}

/** A workspace as the operators describe it. */
export interface WorkspaceDefinition extends Workspace {
  /** By any of these its calls are known; none while all have been withdrawn. */
  readonly keys: readonly string[];
}

/** The workspaces of one configuration. */
export interface WorkspaceTable {
  readonly workspaces: readonly Workspace[];
  find(name: string): Workspace | undefined;
  /** Finds the workspace of a call by the call's key, in a time that does not grow with the number of keys. */
  findByKey(key: string): Workspace | undefined;
}

/** The keys behind each table, which nobody but this folder sees. */
const directories = new WeakMap<WorkspaceTable, KeyDirectory>();

/**
 * Creates the table of a configuration's workspaces. It holds digests in place of keys. An empty key is none: no call
 * can carry it.
 * @param definitions - the workspaces
 * @returns the table, or what is wrong with the definitions; messages name workspaces, never keys
 */
export function createWorkspaceTable(
  definitions: readonly WorkspaceDefinition[],
): Either<string, WorkspaceTable> {
  const byName = new Map<string, Workspace>();
  const directory = new KeyDirectory();
  for (const { name, weight, cap, keys } of definitions) {
    const fault = findFault({ name, weight, cap }, byName);
    if (fault !== undefined) return Left(fault);
    byName.set(name, { name, weight, cap });
    for (const key of keys) {
      const other = key === "" ? undefined : directory.add(key, name);
      if (other !== undefined) return Left(`workspaces "${other}" and "${name}" have a key in common`);
    }
  }
  const find = (name: string): Workspace | undefined => byName.get(name);
  const table: WorkspaceTable = {
    workspaces: [...byName.values()],
    find,
    findByKey: (key) => {
      const owner = directory.find(key);
      return owner === undefined ? undefined : find(owner);
    },
  };
  directories.set(table, directory);
  return Right(table);
}

function findFault(
  { name, weight, cap }: Workspace,
  earlier: ReadonlyMap<string, Workspace>,
): string | undefined {
  if (earlier.has(name)) return `workspace "${name}" stands twice`;
  if (!(weight > 0 && Number.isFinite(weight))) return `workspace "${name}": its weight must be above 0`;
  const { cpuMillicores, memoryMegabytes, accelerators } = cap;
  if ([cpuMillicores, memoryMegabytes, accelerators].some((limit) => !(limit >= 0)))
    return `workspace "${name}": its cap must not be below 0`;
  return undefined;
}

/**
 * Finds the keys behind a table.
 * @param table - the workspaces; undefined for none
 * @returns the keys; undefined when there are none
 */
export function directoryOf(table: WorkspaceTable | undefined): KeyDirectory | undefined {
  return table === undefined ? undefined : directories.get(table);
}
