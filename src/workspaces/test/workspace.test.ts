/**
 * Identification of callers by key, validation of configured workspaces, and the description of changes.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import {
  createWorkspaceTable,
  describeWorkspaceChanges,
  identifyCaller,
  type WorkspaceDefinition,
} from "../index.js";

const noCap = { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };

function define(name: string, ...keys: string[]): WorkspaceDefinition {
  return { name, weight: 1, cap: noCap, keys };
}

function faultOf(...definitions: WorkspaceDefinition[]): string {
  return createWorkspaceTable(definitions).swap().orDefault("taken");
}

const table = createWorkspaceTable([define("north", "k-1", "k-2"), define("south", "k-3")]).unsafeCoerce();
const locked = { requiresKey: true };

test("a call belongs to the workspace that has its key", () => {
  const north = { kind: "workspace", workspace: { name: "north", weight: 1, cap: noCap } };
  expect(identifyCaller(locked, table, ["k-1"])).toEqual(north);
  expect(identifyCaller(locked, table, ["k-2"])).toEqual(north);
  expect(identifyCaller(locked, table, ["k-3"])).toMatchObject({ workspace: { name: "south" } });
});

test("a key that is missing, empty, one of several, unknown or withdrawn identifies no workspace", () => {
  const fault = (keys: string[], workspaces = table): unknown => identifyCaller(locked, workspaces, keys);
  expect(fault([])).toEqual({ kind: "unauthorized", fault: "missing" });
  expect(fault([""])).toEqual({ kind: "unauthorized", fault: "missing" });
  expect(fault(["k-1", "k-1"])).toEqual({ kind: "unauthorized", fault: "several" });
  expect(fault(["k-1, k-2"])).toEqual({ kind: "unauthorized", fault: "unknown" });
  expect(fault(["K-1"])).toEqual({ kind: "unauthorized", fault: "unknown" });
  const withdrawn = createWorkspaceTable([define("north")]).unsafeCoerce();
  expect(fault(["k-1"], withdrawn)).toEqual({ kind: "unauthorized", fault: "unknown" });
  expect(identifyCaller(locked, undefined, ["k-1"])).toEqual({ kind: "unauthorized", fault: "unknown" });
});

test("a queue that requires no key ignores keys", () => {
  for (const queue of [{}, { requiresKey: false }])
    for (const keys of [[], ["k-1"], ["unknown"], ["k-1", "k-3"]])
      expect(identifyCaller(queue, table, keys)).toEqual({ kind: "anyone" });
});

test("contradictory or invalid definitions are rejected, and the message contains no key", () => {
  const common = faultOf(define("north", "k-1"), define("south", "k-9", "k-1"));
  expect(common).toContain("north");
  expect(common).toContain("south");
  expect(common).not.toContain("k-1");
  expect(faultOf(define("north"), define("north"))).toContain("twice");
  for (const weight of [0, -1, Number.NaN, Number.POSITIVE_INFINITY])
    expect(faultOf({ ...define("north"), weight })).toContain("weight");
  expect(faultOf({ ...define("north"), cap: { ...noCap, accelerators: -1 } })).toContain("cap");
});

test("a workspace may have no key, the same key twice, or a very long one; empty keys are ignored", () => {
  const long = "k".repeat(8_192);
  const created = createWorkspaceTable([define("a"), define("b", "k", "k", ""), define("c", long, "")]);
  const workspaces = created.unsafeCoerce();
  expect(workspaces.findByKey("k")?.name).toBe("b");
  expect(workspaces.findByKey(long)?.name).toBe("c");
  expect(workspaces.findByKey("")).toBeUndefined();
});

test("a change is described by counts and names", () => {
  const next = createWorkspaceTable([
    { ...define("south", "k-3", "k-4"), weight: 2 },
    define("east", "k-1"),
  ]).unsafeCoerce();
  expect(describeWorkspaceChanges(undefined, undefined)).toBeUndefined();
  expect(describeWorkspaceChanges(table, next)).toEqual({
    workspaces: 2,
    keys: 3,
    came: 1,
    cameNames: "east",
    vanished: 1,
    vanishedNames: "north",
    termsChanged: 1,
    // A key that moves to another workspace counts as withdrawn and as added.
    keysAdded: 2,
    keysWithdrawn: 2,
  });
  expect(describeWorkspaceChanges(table, undefined)).toMatchObject({
    vanished: 2,
    keysWithdrawn: 3,
    keys: 0,
  });
  const many = createWorkspaceTable(
    Array.from({ length: 400 }, (_value, index) => define(`w-${index}`)),
  ).unsafeCoerce();
  expect(describeWorkspaceChanges(undefined, many)).toMatchObject({
    came: 400,
    cameNames: "w-0,w-1,w-2,w-3,w-4,...",
  });
});
