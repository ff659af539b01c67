/**
 * Keys and schemas of the configuration's records in the store.
 * @packageDocumentation
 */
import * as z from "zod";
import { operatorConfigurationSchema } from "./configuration-schema.js";

/** Key prefix of all records of the configuration. */
export const configurationPrefix = "configuration/";
/** Key of the record that was accepted last. */
export const currentConfigurationKey = `${configurationPrefix}current`;

/** Schema of an accepted configuration with its revision. */
export const configurationRecordSchema = z.object({
  /** Counts accepted changes from 1. */
  revision: z.int().min(1),
  /** Identifier of the change, chosen by the operator's command. */
  changeId: z.string().min(1),
  author: z.string(),
  /** Milliseconds since the epoch, by the accepting entry's clock. */
  acceptedAt: z.number(),
  text: operatorConfigurationSchema,
});

/** An accepted configuration with its revision. */
export type AcceptedConfiguration = z.infer<typeof configurationRecordSchema>;

const changeReferenceSchema = z.object({ revision: z.int().min(1), changeId: z.string() });

/** Schema of the current record: the configuration accepted last and the changes before it. */
export const currentRecordSchema = configurationRecordSchema.extend({
  /** The changes accepted before this one, newest first; a repeated change identifier is recognised by them. */
  earlierChanges: z.array(changeReferenceSchema).default([]),
});

/** The current record: the configuration accepted last and the changes before it. */
export type CurrentRecord = z.infer<typeof currentRecordSchema>;

/** Bounds the current record's size; an identifier repeated after more changes than this counts as a new change. */
export const maximumEarlierChanges = 200;

/**
 * Builds the store key of an archived configuration.
 * @param revision - revision of the configuration, from 1
 * @returns the key
 */
export function historyKey(revision: number): string {
  return `${configurationPrefix}history/${revision}`;
}

/**
 * Creates the next current record.
 * @param previous - the current record; undefined for the first configuration
 * @param accepted - the configuration that replaces it
 * @returns the record, which lists the previous change as the newest of the earlier ones
 */
export function createCurrentRecord(
  previous: CurrentRecord | undefined,
  accepted: AcceptedConfiguration,
): CurrentRecord {
  if (previous === undefined) return { ...accepted, earlierChanges: [] };
  const { revision, changeId, earlierChanges } = previous;
  return {
    ...accepted,
    earlierChanges: [{ revision, changeId }, ...earlierChanges].slice(0, maximumEarlierChanges),
  };
}

/**
 * Finds the revision under which a change was accepted.
 * @param record - the current record
 * @param changeId - identifier of the change
 * @returns the revision; undefined when the record doesn't list the change (never accepted, or too long ago)
 */
export function findRevisionOfChange(record: CurrentRecord, changeId: string): number | undefined {
  if (record.changeId === changeId) return record.revision;
  return record.earlierChanges.find((change) => change.changeId === changeId)?.revision;
}
