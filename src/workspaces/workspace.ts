/**
 * Workspaces: groups of callers that share a fleet. The operators configure each workspace's keys, weight and cap.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { Resources } from "../jobs/index.js";
import { KeyDirectory } from "./key-directory.js";

/** A workspace without its keys. */
export interface Workspace {
  readonly name: string;
  /** Its share of a full pool relative to the other workspaces; also the jobs a second that it may count on. */
  readonly weight: number;
  /** Resources that its tasks may use at a time in all pools together; 0 means no limit on that resource. */
  readonly cap: Resources;
}

/** A workspace as the operators configure it. */
export interface WorkspaceDefinition extends Workspace {
  /** Any of these identifies the workspace's calls; empty after all have been withdrawn. */
  readonly keys: readonly string[];
}

/** The workspaces of one configuration. */
export interface WorkspaceTable {
  readonly workspaces: readonly Workspace[];
  find(name: string): Workspace | undefined;
  /** Finds a workspace by one of its keys, in constant time. */
  findByKey(key: string): Workspace | undefined;
}

/** Key directory of each table; kept outside of the table, so that only this folder can access it. */
const directories = new WeakMap<WorkspaceTable, KeyDirectory>();

/**
 * Creates the table of a configuration's workspaces. It holds digests instead of keys. Empty keys are ignored, since
 * no call can send one.
 * @param definitions - the workspaces
 * @returns the table, or a message that describes the first invalid definition; it names workspaces, never keys
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
      const name = directory.find(key);
      return name === undefined ? undefined : find(name);
    },
  };
  directories.set(table, directory);
  return Right(table);
}

function findFault(
  { name, weight, cap }: Workspace,
  earlier: ReadonlyMap<string, Workspace>,
): string | undefined {
  if (earlier.has(name)) return `workspace "${name}" is defined twice`;
  if (!(weight > 0 && Number.isFinite(weight))) return `workspace "${name}": its weight must be above 0`;
  const { cpuMillicores, memoryMegabytes, accelerators } = cap;
  if ([cpuMillicores, memoryMegabytes, accelerators].some((limit) => !(limit >= 0)))
    return `workspace "${name}": its cap must not be below 0`;
  return undefined;
}

/**
 * Finds the key directory of a table.
 * @param table - the workspaces; undefined when none are configured
 * @returns the key directory; undefined when `table` is undefined
 */
export function directoryOf(table: WorkspaceTable | undefined): KeyDirectory | undefined {
  return table === undefined ? undefined : directories.get(table);
}
