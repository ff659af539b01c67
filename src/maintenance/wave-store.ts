/**
 * Reading and conditional writing of the wave's record.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { writeAndSettle, type StoreClient, type StoreRecord } from "../store/index.js";
import { parseWith } from "../shared/index.js";
import { currentWaveKey, wavePrefix, waveRecordSchema, type WaveRecord } from "./wave-record.js";

/** Why a wave was not changed. */
export interface WaveFailure {
  readonly kind: "refused" | "conflict" | "not-done" | "unknown";
  readonly message: string;
}

/** A wave as of a revision of the store; without a wave before the first. */
export interface StoredWave {
  readonly wave: WaveRecord | undefined;
  readonly revision: number;
}

/** Reads and writes the wave. */
export interface WaveStore {
  /** Reads the wave from the store. */
  read(): Promise<Either<WaveFailure, StoredWave>>;
  /**
   * Writes the wave if nobody else has written it since it was read.
   * @param stored - what was read
   * @param next - what replaces it, with a writeId of its own
   */
  write(stored: StoredWave, next: WaveRecord): Promise<Either<WaveFailure, WaveRecord>>;
  /** Keeps a wave that is over under its own key, before another one replaces it. */
  archive(wave: WaveRecord): Promise<Either<WaveFailure, WaveRecord>>;
}

/**
 * Creates the access.
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
          : Left({ kind: "conflict", message: "another change of the wave came first" });
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
      message: `the wave's record cannot be read: ${faults[0]?.path ?? ""}`,
    }));
}
