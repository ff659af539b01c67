/**
 * History of accepted configurations. The current record is copied to the history before it is replaced, so a crash
 * between the two writes loses no configuration.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { writeAndSettle, type StoreClient, type StoreFailure } from "../store/index.js";
import { parseWith } from "../shared/index.js";
import {
  configurationRecordSchema,
  currentConfigurationKey,
  currentRecordSchema,
  historyKey,
  type AcceptedConfiguration,
  type CurrentRecord,
} from "./record.js";

/** Earlier configurations that the store keeps; a roll-back to an older revision is refused. */
const maximumArchivedRevisions = 500;

/** The record of the current configuration with the store's revision of its key. */
export interface StoredCurrentRecord {
  readonly record: CurrentRecord | undefined;
  /** The store's revision of the key; 0 when the key is absent. */
  readonly storeRevision: number;
}

/**
 * Reads the record of the current configuration.
 * @param store - the platform's store
 * @returns the record; `bad-answer` when it doesn't match the schema, or the store's failure
 */
export async function readCurrentRecord(
  store: StoreClient,
): Promise<Either<StoreFailure, StoredCurrentRecord>> {
  const read = await store.get(currentConfigurationKey);
  return read.chain((found): Either<StoreFailure, StoredCurrentRecord> => {
    if (found === undefined) return Right({ record: undefined, storeRevision: 0 });
    return parseWith(currentRecordSchema, found.value)
      .map((record) => ({ record, storeRevision: found.revision }))
      .mapLeft((faults) => ({
        kind: "bad-answer",
        message: `${currentConfigurationKey} cannot be read: ${faults[0]?.path ?? ""} ${faults[0]?.message ?? ""}`,
      }));
  });
}

/**
 * Reads an accepted configuration, current or archived.
 * @param store - the platform's store
 * @param revision - revision of the configuration, not of the store's key
 * @returns the configuration; undefined when the store has no such revision (not accepted yet, or pruned)
 */
export async function readRevision(
  store: StoreClient,
  revision: number,
): Promise<Either<StoreFailure, AcceptedConfiguration | undefined>> {
  const current = await readCurrentRecord(store);
  if (current.isLeft()) return current;
  const { record } = current.unsafeCoerce();
  if (record?.revision === revision) return Right(configurationRecordSchema.parse(record));
  return readArchived(store, revision);
}

/**
 * Reads the newest accepted configurations, one key after the other.
 * @param store - the platform's store
 * @param count - largest number of configurations to return
 * @returns the configurations, newest first; the list ends at the first revision that is not archived
 */
export async function readHistory(
  store: StoreClient,
  count: number,
): Promise<Either<StoreFailure, AcceptedConfiguration[]>> {
  const current = await readCurrentRecord(store);
  if (current.isLeft()) return current;
  const { record } = current.unsafeCoerce();
  if (record === undefined) return Right([]);
  const found: AcceptedConfiguration[] = [configurationRecordSchema.parse(record)];
  for (let revision = record.revision - 1; revision > 0 && found.length < count; revision -= 1) {
    const archived = await readArchived(store, revision);
    if (archived.isLeft()) return archived;
    const accepted = archived.orDefault(undefined);
    if (accepted === undefined) break;
    found.push(accepted);
  }
  return Right(found);
}

/**
 * Copies a record to the history unless the history already has it.
 * @param store - the platform's store
 * @param record - the current record, which is about to be replaced
 * @returns undefined when the history has the record; otherwise the store's failure, after which the history may or may
 * not have it
 */
export async function archiveRecord(
  store: StoreClient,
  record: CurrentRecord,
): Promise<Either<StoreFailure, undefined>> {
  const key = historyKey(record.revision);
  const value = configurationRecordSchema.parse(record);
  // Every writer of this key writes the same configuration, so any existing value is the expected one.
  const isOwn = (existing: unknown): boolean => existing !== undefined;
  const result = await writeAndSettle(store, { key, value, expectedRevision: 0 }, isOwn);
  if (result.kind === "done" || result.kind === "conflict") return Right(undefined);
  return Left(result.failure);
}

/**
 * Deletes the one configuration that the new revision pushes out of the history. A failed deletion is not retried and
 * leaves one key in the store.
 * @param store - the platform's store
 * @param currentRevision - the revision that was just accepted
 */
export async function pruneHistory(store: StoreClient, currentRevision: number): Promise<void> {
  const oldest = currentRevision - maximumArchivedRevisions;
  if (oldest < 1) return;
  const read = await store.get(historyKey(oldest));
  const found = read.orDefault(undefined);
  if (found === undefined) return;
  await store.compareAndSwap({ key: found.key, value: undefined, expectedRevision: found.revision });
}

async function readArchived(
  store: StoreClient,
  revision: number,
): Promise<Either<StoreFailure, AcceptedConfiguration | undefined>> {
  const read = await store.get(historyKey(revision));
  return read.chain((found): Either<StoreFailure, AcceptedConfiguration | undefined> => {
    if (found === undefined) return Right(undefined);
    return parseWith(configurationRecordSchema, found.value).mapLeft((faults) => ({
      kind: "bad-answer",
      message: `${found.key} cannot be read: ${faults[0]?.path ?? ""} ${faults[0]?.message ?? ""}`,
    }));
  });
}
