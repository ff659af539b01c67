/**
 * Describes the changes to workspaces in a new configuration, without any keys.
 * @packageDocumentation
 */
import type { LogFields } from "../telemetry/index.js";
import { directoryOf, type Workspace, type WorkspaceTable } from "./workspace.js";

/** Most names in a log line; further workspaces are only counted. */
const maximumListedNames = 5;

/**
 * Describes the changes to workspaces.
 * @param previous - the workspaces before the change; undefined when none were configured
 * @param next - the workspaces after the change; undefined when none are configured
 * @returns the fields of a log line; undefined when neither configuration has workspaces
 */
export function describeWorkspaceChanges(
  previous: WorkspaceTable | undefined,
  next: WorkspaceTable | undefined,
): LogFields | undefined {
  if (previous === undefined && next === undefined) return undefined;
  const before = previous?.workspaces ?? [];
  const after = next?.workspaces ?? [];
  const keysBefore = directoryOf(previous);
  const keysAfter = directoryOf(next);
  const added = after.filter(({ name }) => previous?.find(name) === undefined);
  const removed = before.filter(({ name }) => next?.find(name) === undefined);
  return {
    workspaces: after.length,
    keys: keysAfter?.size ?? 0,
    came: added.length,
    cameNames: listNames(added),
    vanished: removed.length,
    vanishedNames: listNames(removed),
    termsChanged: after.filter((workspace) => hasChangedTerms(workspace, previous?.find(workspace.name)))
      .length,
    keysAdded: keysAfter?.countMissingIn(keysBefore) ?? 0,
    keysWithdrawn: keysBefore?.countMissingIn(keysAfter) ?? 0,
  };
}

function listNames(workspaces: readonly Workspace[]): string | undefined {
  if (workspaces.length === 0) return undefined;
  const names = workspaces.slice(0, maximumListedNames).map(({ name }) => name);
  return [...names, ...(workspaces.length > maximumListedNames ? ["..."] : [])].join(",");
}

function hasChangedTerms({ weight, cap }: Workspace, earlier: Workspace | undefined): boolean {
  if (earlier === undefined) return false;
  return (
    weight !== earlier.weight ||
    cap.cpuMillicores !== earlier.cap.cpuMillicores ||
    cap.memoryMegabytes !== earlier.cap.memoryMegabytes ||
    cap.accelerators !== earlier.cap.accelerators
  );
}
