/**
 * The accepted configurations of the past. The record accepted last is written to the history before it is replaced, so that
 * a crash at any moment loses none.
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

/** How many earlier configurations the store keeps. */
const maximumArchivedRevisions = 500;

/** The record accepted last with the store's revision of it. */
export interface StoredCurrentRecord {
  readonly record: CurrentRecord | undefined;
  /** The store's revision of the key, 0 when it is absent. */
  readonly storeRevision: number;
}

/**
 * Reads the record that was accepted last.
 * @param store - the platform's store
 * @returns the record, or why it is not known
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
 * Reads an accepted configuration.
 * @param store - the platform's store
 * @param revision - its revision
 * @returns the configuration, undefined when the store has none of that revision
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
 * Reads the newest accepted configurations.
 * @param store - the platform's store
 * @param count - how many
 * @returns the configurations, the newest first
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
 * Writes a record to the history unless it is there.
 * @param store - the platform's store
 * @param record - the record that is about to be replaced
 * @returns nothing when the record is known to be there, or why that is not known
 */
export async function archiveRecord(
  store: StoreClient,
  record: CurrentRecord,
): Promise<Either<StoreFailure, undefined>> {
  const key = historyKey(record.revision);
  const value = configurationRecordSchema.parse(record);
  // All writers of this key write the same accepted configuration.
  const isOwn = (existing: unknown): boolean => existing !== undefined;
  const result = await writeAndSettle(store, { key, value, expectedRevision: 0 }, isOwn);
  if (result.kind === "done" || result.kind === "conflict") return Right(undefined);
  return Left(result.failure);
}

/**
 * Deletes the configuration that has fallen out of the history. A failure is made up for by nothing, and costs one key.
 * @param store - the platform's store
 * @param currentRevision - the revision accepted last
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
