/**
 * Accepts a new text by a compare-and-swap on the record of the configuration.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { writeAndSettle, type StoreClient, type StoreRecord } from "../platform/index.js";
import { parseWith, type ParseFault } from "../shared/index.js";
import { checkText } from "./check.js";
import { configurationRecordSchema, currentConfigurationKey, type AcceptedConfiguration } from "./record.js";
import type { OperatorText } from "./text-schema.js";

/** A change that an operator asks for. */
export interface ConfigurationChange {
  /** Identifier of the change; the same identifier is accepted once. */
  readonly changeId: string;
  readonly author: string;
  /** The revision that the operator started from; 0 for the first text. */
  readonly baseRevision: number;
  /** Decoded JSON. */
  readonly text: unknown;
}

/** Why a change was not accepted. */
export type ApplyFailure =
  | { readonly kind: "invalid"; readonly faults: readonly ParseFault[] }
  | { readonly kind: "conflict"; readonly current: AcceptedConfiguration | undefined }
  | { readonly kind: "not-done"; readonly message: string }
  | { readonly kind: "unknown"; readonly message: string };

/**
 * Accepts a change.
 * @param store - the platform's store
 * @param change - the change
 * @returns the accepted configuration with its store revision, or why it was not accepted
 */
export async function applyChange(
  store: StoreClient,
  change: ConfigurationChange,
): Promise<Either<ApplyFailure, AcceptedConfiguration>> {
  const checked = checkText(change.text);
  if (checked.isLeft()) return Left({ kind: "invalid", faults: checked.swap().orDefault([]) });
  const text = checked.unsafeCoerce();
  const read = await store.get(currentConfigurationKey);
  if (read.isLeft()) return Left({ kind: "not-done", message: describeRead(read) });
  const record = read.orDefault(undefined);
  const current = decodeRecord(record);
  if (current?.changeId === change.changeId) return Right(current);
  if ((current?.revision ?? 0) !== change.baseRevision) return Left({ kind: "conflict", current });
  return writeAccepted(store, record, createAccepted(change, text));
}

function createAccepted(change: ConfigurationChange, text: OperatorText): AcceptedConfiguration {
  return {
    revision: change.baseRevision + 1,
    changeId: change.changeId,
    author: change.author,
    acceptedAt: Date.now(),
    text,
  };
}

async function writeAccepted(
  store: StoreClient,
  record: StoreRecord | undefined,
  accepted: AcceptedConfiguration,
): Promise<Either<ApplyFailure, AcceptedConfiguration>> {
  const write = {
    key: currentConfigurationKey,
    value: accepted,
    expectedRevision: record?.revision ?? 0,
  };
  const result = await writeAndSettle(store, write, (value) => hasChangeId(value, accepted.changeId));
  switch (result.kind) {
    case "done":
      return Right(accepted);
    case "conflict":
      return Left({ kind: "conflict", current: decodeRecord(result.current) });
    case "not-done":
      return Left({ kind: "not-done", message: result.failure.message });
    case "unknown":
      return Left({ kind: "unknown", message: result.failure.message });
  }
}

function hasChangeId(value: unknown, changeId: string): boolean {
  return (value as { changeId?: unknown } | undefined)?.changeId === changeId;
}

function decodeRecord(record: StoreRecord | undefined): AcceptedConfiguration | undefined {
  if (record === undefined) return undefined;
  return parseWith(configurationRecordSchema, record.value).orDefault(undefined as never);
}

function describeRead(read: Either<{ message: string }, unknown>): string {
  return read
    .swap()
    .map(({ message }) => message)
    .orDefault("");
}
