/**
 * Accepts configuration changes by compare-and-swap on the current record in the store.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { writeAndSettle, type StoreClient, type StoreFailure } from "../store/index.js";
import { parseWith, type ParseFault } from "../shared/index.js";
import { checkConfiguration } from "./check.js";
import { findDifferences, type ConfigurationDifference } from "./difference.js";
import {
  archiveRecord,
  pruneHistory,
  readCurrentRecord,
  readRevision,
  type StoredCurrentRecord,
} from "./history.js";
import {
  configurationRecordSchema,
  createCurrentRecord,
  currentConfigurationKey,
  currentRecordSchema,
  findRevisionOfChange,
  type AcceptedConfiguration,
  type CurrentRecord,
} from "./record.js";
import type { OperatorConfiguration } from "./configuration-schema.js";

/** A configuration change that an operator requests. */
export interface ConfigurationChange {
  /** Identifier of the change; a repeated request with the same identifier is accepted only once. */
  readonly changeId: string;
  readonly author: string;
  /** The revision that the change is based on; 0 for the first configuration. */
  readonly baseRevision: number;
  /** The new configuration as decoded JSON, not yet checked. */
  readonly text: unknown;
}

/** A request to return to an earlier configuration. */
export interface RollBackRequest extends Omit<ConfigurationChange, "text"> {
  /** The revision whose configuration is accepted again, as a new revision. */
  readonly toRevision: number;
}

/** Why a change was not accepted. */
export type ApplyFailure =
  | { readonly kind: "invalid"; readonly faults: readonly ParseFault[] }
  | {
      readonly kind: "conflict";
      readonly current: AcceptedConfiguration | undefined;
      /** Changes that others made since the base revision; empty when the history doesn't have that revision. */
      readonly differences: readonly ConfigurationDifference[];
    }
  /** The store failed; this request accepted nothing. */
  | { readonly kind: "not-done"; readonly message: string }
  /** The store's response was lost; the change may have been accepted. */
  | { readonly kind: "unknown"; readonly message: string };

type ApplyResult = Either<ApplyFailure, AcceptedConfiguration>;

/**
 * Accepts a change if its base revision is the current one. A change that was accepted before is not accepted again.
 * @param store - the platform's store
 * @param change - the change with its base revision
 * @returns the accepted configuration, that of the first acceptance for a repeated change, or why it was not accepted
 */
export async function applyChange(store: StoreClient, change: ConfigurationChange): Promise<ApplyResult> {
  const checked = checkConfiguration(change.text);
  if (checked.isLeft()) return Left({ kind: "invalid", faults: checked.swap().orDefault([]) });
  const read = await readCurrentRecord(store);
  if (read.isLeft()) return read.mapLeft(toApplyFailure);
  const current = read.unsafeCoerce();
  const { record } = current;
  const acceptedRevision = record === undefined ? undefined : findRevisionOfChange(record, change.changeId);
  if (acceptedRevision !== undefined) return readAccepted(store, acceptedRevision);
  if ((record?.revision ?? 0) !== change.baseRevision) return describeConflict(store, change, record);
  if (record !== undefined) {
    const archived = await archiveRecord(store, record);
    if (archived.isLeft()) return archived.mapLeft(toApplyFailure);
  }
  return writeAccepted(store, current, change, createAccepted(change, checked.unsafeCoerce()));
}

/**
 * Accepts the configuration of an earlier revision as a new revision.
 * @param store - the platform's store
 * @param request - the earlier revision and the base revision
 * @returns the accepted configuration, or why it was not accepted: `invalid` when the history lacks the revision
 */
export async function rollBack(store: StoreClient, request: RollBackRequest): Promise<ApplyResult> {
  const { toRevision, ...change } = request;
  const read = await readRevision(store, toRevision);
  if (read.isLeft()) return read.mapLeft(toApplyFailure);
  const earlier = read.orDefault(undefined);
  if (earlier !== undefined) return applyChange(store, { ...change, text: earlier.text });
  const message = `the history does not contain revision ${toRevision}`;
  return Left({ kind: "invalid", faults: [{ path: "toRevision", message }] });
}

function createAccepted(
  change: ConfigurationChange,
  configuration: OperatorConfiguration,
): AcceptedConfiguration {
  const { changeId, author, baseRevision } = change;
  return { revision: baseRevision + 1, changeId, author, acceptedAt: Date.now(), text: configuration };
}

async function writeAccepted(
  store: StoreClient,
  { record, storeRevision }: StoredCurrentRecord,
  change: ConfigurationChange,
  accepted: AcceptedConfiguration,
): Promise<ApplyResult> {
  const write = {
    key: currentConfigurationKey,
    value: createCurrentRecord(record, accepted),
    expectedRevision: storeRevision,
  };
  const isOwn = (value: unknown): boolean =>
    findRevisionInValue(value, accepted.changeId) === accepted.revision;
  const provesAbsence = (value: unknown): boolean => includesRevision(value, accepted.revision);
  const result = await writeAndSettle(store, write, isOwn, provesAbsence);
  switch (result.kind) {
    case "done":
      await pruneHistory(store, accepted.revision);
      return Right(accepted);
    case "conflict":
      return resolveConflict(store, change, result.current?.value);
    case "not-done":
    case "unknown":
      return Left({ kind: result.kind, message: result.failure.message });
  }
}

/** Handles a failed compare-and-swap: the same change may have been accepted through another entry meanwhile. */
async function resolveConflict(
  store: StoreClient,
  change: ConfigurationChange,
  value: unknown,
): Promise<ApplyResult> {
  const revision = findRevisionInValue(value, change.changeId);
  if (revision !== undefined) return readAccepted(store, revision);
  return describeConflict(store, change, decodeCurrent(value));
}

async function readAccepted(store: StoreClient, revision: number): Promise<ApplyResult> {
  const read = await readRevision(store, revision);
  return read.mapLeft(toApplyFailure).chain((accepted): ApplyResult => {
    if (accepted !== undefined) return Right(accepted);
    return Left({ kind: "not-done", message: `revision ${revision} is no longer in the history` });
  });
}

async function describeConflict(
  store: StoreClient,
  { baseRevision }: ConfigurationChange,
  record: CurrentRecord | undefined,
): Promise<ApplyResult> {
  if (record === undefined) return Left({ kind: "conflict", current: undefined, differences: [] });
  const base = await readRevision(store, baseRevision);
  const configuration = base.orDefault(undefined)?.text;
  const differences = configuration === undefined ? [] : findDifferences(configuration, record.text);
  return Left({ kind: "conflict", current: configurationRecordSchema.parse(record), differences });
}

function decodeCurrent(value: unknown): CurrentRecord | undefined {
  return parseWith(currentRecordSchema, value).caseOf<CurrentRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}

function findRevisionInValue(value: unknown, changeId: string): number | undefined {
  const record = decodeCurrent(value);
  return record === undefined ? undefined : findRevisionOfChange(record, changeId);
}

/**
 * Returns whether a current record lists the change that was accepted as a revision. If that change is another one, the
 * own write never took effect.
 */
function includesRevision(value: unknown, revision: number): boolean {
  const record = decodeCurrent(value);
  if (record === undefined) return false;
  return [record, ...record.earlierChanges].some((named) => named.revision === revision);
}

function toApplyFailure({ message }: StoreFailure): ApplyFailure {
  return { kind: "not-done", message };
}
