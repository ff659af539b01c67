/**
 * Decides whose call it is, by the key that the call carries and the configuration in force.
 * @packageDocumentation
 */
import type { Queue } from "../jobs/index.js";
import type { Workspace, WorkspaceTable } from "./workspace.js";

/** Why a call's key names no workspace. */
export type KeyFault = "missing" | "several" | "unknown";

/** Whose call it is. */
export type CallerIdentity =
  /** The queue needs no key, and whatever key the call carries is not looked at. */
  | { readonly kind: "anyone" }
  | { readonly kind: "workspace"; readonly workspace: Workspace }
  | { readonly kind: "unauthorized"; readonly fault: KeyFault };

/**
 * Identifies the caller of a queue.
 * @param queue - the queue that was called
 * @param table - the workspaces of the configuration in force; undefined when it holds none
 * @param keys - the keys that the call carries, each once for every time that it stands there
 * @returns whose call it is
 */
export function identifyCaller(
  { requiresKey }: Pick<Queue, "requiresKey">,
  table: WorkspaceTable | undefined,
  keys: readonly string[],
): CallerIdentity {
  if (requiresKey !== true) return { kind: "anyone" };
  const [key = "", ...others] = keys;
  // Which of several the caller means is not guessed.
  if (others.length > 0) return { kind: "unauthorized", fault: "several" };
  if (key === "") return { kind: "unauthorized", fault: "missing" };
  const workspace = table?.findByKey(key);
  return workspace === undefined
    ? { kind: "unauthorized", fault: "unknown" }
    : { kind: "workspace", workspace };
}
