/**
 * What a new configuration changes for the workspaces, in words that hold no key.
 * @packageDocumentation
 */
import type { LogFields } from "../telemetry/index.js";
import { directoryOf, type Workspace, type WorkspaceTable } from "./workspace.js";

/** Names in one line of the log; more are counted. */
const listedNames = 5;

/**
 * Describes what changed.
 * @param previous - the workspaces so far; undefined when none were configured
 * @param next - the workspaces from now on; undefined when none are configured
 * @returns the fields of a log line; undefined when workspaces are configured neither before nor after
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
  const came = after.filter(({ name }) => previous?.find(name) === undefined);
  const vanished = before.filter(({ name }) => next?.find(name) === undefined);
  return {
    workspaces: after.length,
    keys: keysAfter?.size ?? 0,
    came: came.length,
    cameNames: listNames(came),
    vanished: vanished.length,
    vanishedNames: listNames(vanished),
    termsChanged: after.filter((workspace) => hasOtherTerms(workspace, previous?.find(workspace.name)))
      .length,
    keysAdded: keysAfter?.countMissingIn(keysBefore) ?? 0,
    keysWithdrawn: keysBefore?.countMissingIn(keysAfter) ?? 0,
  };
}

function listNames(workspaces: readonly Workspace[]): string | undefined {
  if (workspaces.length === 0) return undefined;
  const names = workspaces.slice(0, listedNames).map(({ name }) => name);
  return [...names, ...(workspaces.length > listedNames ? ["..."] : [])].join(",");
}

function hasOtherTerms({ weight, cap }: Workspace, earlier: Workspace | undefined): boolean {
  if (earlier === undefined) return false;
  return (
    weight !== earlier.weight ||
    cap.cpuMillicores !== earlier.cap.cpuMillicores ||
    cap.memoryMegabytes !== earlier.cap.memoryMegabytes ||
    cap.accelerators !== earlier.cap.accelerators
  );
}
