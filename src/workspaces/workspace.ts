/**
 * Workspaces: callers who share a fleet. The operators' configuration gives each its keys, its weight and its cap.
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import { Left, Right, type Either } from "purify-ts";
import type { Resources } from "../jobs/index.js";

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

/**
 * Creates the table of a configuration's workspaces. It holds digests in place of keys.
 * @param definitions - the workspaces
 * @returns the table, or what is wrong with the definitions; messages name workspaces, never keys
 */
export function createWorkspaceTable(
  definitions: readonly WorkspaceDefinition[],
): Either<string, WorkspaceTable> {
  const byName = new Map<string, Workspace>();
  const byDigest = new Map<string, Workspace>();
  for (const { name, weight, cap, keys } of definitions) {
    if (byName.has(name)) return Left(`workspace "${name}" stands twice`);
    if (!(weight > 0)) return Left(`workspace "${name}": its weight must be above 0`);
    const workspace = { name, weight, cap };
    byName.set(name, workspace);
    for (const key of keys) {
      const digest = digestKey(key);
      const other = byDigest.get(digest);
      if (other !== undefined && other.name !== name)
        return Left(`workspaces "${other.name}" and "${name}" have a key in common`);
      byDigest.set(digest, workspace);
    }
  }
  return Right({
    workspaces: [...byName.values()],
    find: (name) => byName.get(name),
    findByKey: (key) => byDigest.get(digestKey(key)),
  });
}

function digestKey(key: string): string {
  return createHash("sha256").update(key).digest("base64");
}
