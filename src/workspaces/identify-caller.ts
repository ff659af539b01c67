/**
 * Identifies the workspace of a call by the call's key and the configuration in force.
 * @packageDocumentation
 */
import type { Queue } from "../jobs/index.js";
import type { Workspace, WorkspaceTable } from "./workspace.js";

/** Why a call's keys identify no workspace. */
export type KeyFault = "missing" | "several" | "unknown";

/** Result of identifying a caller. */
export type CallerIdentity =
  /** The queue requires no key; keys of the call are ignored. */
  | { readonly kind: "anyone" }
  | { readonly kind: "workspace"; readonly workspace: Workspace }
  | { readonly kind: "unauthorized"; readonly fault: KeyFault };

/**
 * Identifies the caller of a queue.
 * @param queue - the queue that was called
 * @param table - the workspaces of the configuration in force; undefined when none are configured
 * @param keys - all keys of the call; a key that was sent twice is listed twice
 * @returns the workspace, or why there is none
 */
export function identifyCaller(
  { requiresKey }: Pick<Queue, "requiresKey">,
  table: WorkspaceTable | undefined,
  keys: readonly string[],
): CallerIdentity {
  if (requiresKey !== true) return { kind: "anyone" };
  const [key = "", ...others] = keys;
  // Several keys are rejected, even equal ones: choosing one would be a guess.
  if (others.length > 0) return { kind: "unauthorized", fault: "several" };
  if (key === "") return { kind: "unauthorized", fault: "missing" };
  const workspace = table?.findByKey(key);
  return workspace === undefined
    ? { kind: "unauthorized", fault: "unknown" }
    : { kind: "workspace", workspace };
}
