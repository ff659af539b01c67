/**
 * Reads the wave's record from the store and writes it conditionally.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { writeAndSettle, type StoreClient, type StoreRecord } from "../store/index.js";
import { parseWith } from "../shared/index.js";
import { currentWaveKey, wavePrefix, waveRecordSchema, type WaveRecord } from "./wave-record.js";

/** Why a wave was not read or changed. */
export interface WaveFailure {
  readonly kind: "refused" | "conflict" | "not-done" | "unknown";
  readonly message: string;
}

/** The current wave, undefined before the first, and the store's revision of its key, 0 when the key is absent. */
export interface StoredWave {
  readonly wave: WaveRecord | undefined;
  readonly revision: number;
}

/** Access to the wave's record. */
export interface WaveStore {
  /** Reads the current or last wave. */
  read(): Promise<Either<WaveFailure, StoredWave>>;
  /**
   * Writes the wave unless another writer has changed it since it was read.
   * @param stored - the wave and revision that were read
   * @param next - the new record, with a new `writeId`
   */
  write(stored: StoredWave, next: WaveRecord): Promise<Either<WaveFailure, WaveRecord>>;
  /** Copies a wave that has ended to a key of its own, before another wave replaces it. */
  archive(wave: WaveRecord): Promise<Either<WaveFailure, WaveRecord>>;
}

/**
 * Creates the access to the wave's record.
 * @param store - the platform's store
 * @returns the access
 */
export function createWaveStore(store: StoreClient): WaveStore {
  const writeTo = async (
    key: string,
    expectedRevision: number,
    next: WaveRecord,
  ): Promise<Either<WaveFailure, WaveRecord>> => {
    const isOwn = (value: unknown): boolean => (value as WaveRecord | undefined)?.writeId === next.writeId;
    const result = await writeAndSettle(store, { key, value: next, expectedRevision }, isOwn);
    switch (result.kind) {
      case "done":
        return Right(next);
      case "conflict":
        return isOwn(result.current?.value)
          ? Right(next)
          : Left({
              kind: "conflict",
              message: "the wave was changed by another command or runner in the meantime",
            });
      case "not-done":
      case "unknown":
        return Left({ kind: result.kind, message: result.failure.message });
    }
  };

  return {
    read: async () => {
      const read = await store.get(currentWaveKey);
      return read.mapLeft(({ message }): WaveFailure => ({ kind: "not-done", message })).chain(decodeStored);
    },
    write: async (stored, next) => writeTo(currentWaveKey, stored.revision, next),
    archive: async (wave) => writeTo(`${wavePrefix}${wave.waveId}`, 0, wave),
  };
}

function decodeStored(record: StoreRecord | undefined): Either<WaveFailure, StoredWave> {
  if (record === undefined) return Right({ wave: undefined, revision: 0 });
  return parseWith(waveRecordSchema, record.value)
    .map((wave) => ({ wave, revision: record.revision }))
    .mapLeft((faults) => ({
      kind: "refused",
      message: `the wave's record does not match the schema: ${faults[0]?.path ?? ""}`,
    }));
}
