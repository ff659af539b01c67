/**
 * The records of the configuration in the store.
 * @packageDocumentation
 */
import * as z from "zod";
import { operatorConfigurationSchema } from "./configuration-schema.js";

/** Prefix of all records of the configuration. */
export const configurationPrefix = "configuration/";
/** Key of the accepted configuration. */
export const currentConfigurationKey = `${configurationPrefix}current`;

/** Checks an accepted configuration with its revision. */
export const configurationRecordSchema = z.object({
  /** Counts accepted changes from 1. */
  revision: z.int().min(1),
  /** Identifier that the operator's command gave to the change. */
  changeId: z.string().min(1),
  author: z.string(),
  /** Milliseconds since the epoch, by the accepting entry's clock. */
  acceptedAt: z.number(),
  text: operatorConfigurationSchema,
});

/** An accepted configuration with its revision. */
export type AcceptedConfiguration = z.infer<typeof configurationRecordSchema>;

const changeReferenceSchema = z.object({ revision: z.int().min(1), changeId: z.string() });

/** Checks the record of the configuration that was accepted last. */
export const currentRecordSchema = configurationRecordSchema.extend({
  /** The changes accepted before this one, newest first, by which a repeated identifier is recognised. */
  earlierChanges: z.array(changeReferenceSchema).default([]),
});

/** The record of the configuration that was accepted last. */
export type CurrentRecord = z.infer<typeof currentRecordSchema>;

/** How many earlier changes the current record names. */
export const maximumEarlierChanges = 200;

/**
 * Names the key of an earlier accepted configuration.
 * @param revision - its revision
 * @returns the key
 */
export function historyKey(revision: number): string {
  return `${configurationPrefix}history/${revision}`;
}

/**
 * Creates the record that follows another.
 * @param previous - the record accepted last, undefined for the first
 * @param accepted - the accepted configuration
 * @returns the record
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
 * Finds the revision that a change got.
 * @param record - the record accepted last
 * @param changeId - the change
 * @returns the revision, or undefined when the record names no such change
 */
export function findRevisionOfChange(record: CurrentRecord, changeId: string): number | undefined {
  if (record.changeId === changeId) return record.revision;
  return record.earlierChanges.find((change) => change.changeId === changeId)?.revision;
}
