/**
 * Settings of an entry, read from a JSON file and validated as a whole.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { Left, Right, type Either } from "purify-ts";
import * as z from "zod";
import { parseWith, type ParseFault } from "../shared/index.js";

const addressSchema = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.int().min(0).max(65_535),
});

/** Schema of an entry's settings file; `schemas/entry-settings.schema.json` is generated from it. */
export const entrySettingsSchema = z.strictObject({
  $schema: z.string().optional(),
  /** Name of this entry, unique among all entries. */
  entryId: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  availabilityZone: z.string().min(1),
  /** Address that serves callers' requests; port 0 selects a free one. */
  requests: addressSchema,
  /** Address that other entries connect to. */
  peers: addressSchema,
  /** Address that serves operators' commands. */
  operators: addressSchema,
  /** Shared secret for operators' calls; without it `operators.host` must be a loopback address. */
  operatorToken: z.string().min(16).optional(),
  /** Peer addresses (`IP:port`) to fetch the member list from while the store is unavailable. */
  seedPeers: z.array(z.string()).default([]),
  store: z.strictObject({
    address: z.url(),
    timeoutMilliseconds: z.int().min(10).max(60_000).default(1_000),
    /** Maximum rate of this entry's store calls. */
    callsPerSecond: z.int().min(1).default(40),
  }),
  instanceList: z.strictObject({ address: z.url() }),
  limits: z
    .strictObject({
      bodyBytes: z.int().min(1).default(1_048_576),
      answerBytes: z.int().min(1).default(8_388_608),
      /** Total memory for the bodies of all requests that the entry holds at a time. */
      bodyMemoryBytes: z.int().min(1).default(67_108_864),
      queuedRequests: z.int().min(1).default(10_000),
    })
    .prefault({}),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
  /** Destination of finished trace spans. */
  traces: z
    .discriminatedUnion("exporter", [
      z.strictObject({ exporter: z.literal("none") }),
      z.strictObject({ exporter: z.literal("log") }),
      z.strictObject({ exporter: z.literal("otlp"), address: z.url() }),
    ])
    .default({ exporter: "none" }),
  /** `move` lets the planner move instances; with `log` it only logs and shows its plan. */
  planner: z.enum(["log", "move"]).default("log"),
  /** Seed of this entry's random number generator. */
  seed: z.int().default(1),
});

/** Validated settings of an entry, with defaults applied. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/**
 * Validates settings.
 * @param value - decoded JSON
 * @returns the settings with defaults applied, or every fault with its path
 */
export function checkEntrySettings(value: unknown): Either<ParseFault[], EntrySettings> {
  return parseWith(entrySettingsSchema, value).chain((settings) => {
    if (settings.operatorToken !== undefined || isLoopback(settings.operators.host)) return Right(settings);
    const message = "without operatorToken the operators' address must be a loopback address";
    return Left([{ path: "operators.host", message }]);
  });
}

/**
 * Reads and validates a settings file.
 * @param path - path of the JSON file, relative to the working directory
 * @returns the settings, or every fault; a file that cannot be read or parsed gives one fault with the file's path
 */
export async function readEntrySettings(path: string): Promise<Either<ParseFault[], EntrySettings>> {
  try {
    return checkEntrySettings(JSON.parse(await readFile(path, "utf8")));
  } catch (error) {
    return Left([{ path, message: (error as Error).message }]);
  }
}

function isLoopback(host: string): boolean {
  return host.startsWith("127.") || host === "::1";
}
