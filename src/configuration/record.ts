/**
 * The record that holds the accepted text in the store.
 * @packageDocumentation
 */
import { z } from "zod";
import { textSchema } from "./text-schema.js";

/** Prefix of all records of the configuration. */
export const configurationPrefix = "configuration/";
/** Key of the accepted text. */
export const currentConfigurationKey = `${configurationPrefix}current`;

/** Checks the record of the accepted text. */
export const configurationRecordSchema = z.object({
  /** Counts accepted changes from 1. */
  revision: z.int().min(1),
  /** Identifier that the operator's command gave to the change. */
  changeId: z.string().min(1),
  author: z.string(),
  /** Milliseconds since the epoch, by the accepting entry's clock. */
  acceptedAt: z.number(),
  text: textSchema,
});

/** An accepted text with its revision. */
export type AcceptedConfiguration = z.infer<typeof configurationRecordSchema>;
