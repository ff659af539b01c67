/**
 * Settings of an entry, read from a JSON file and checked whole.
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

/** Checks an entry's settings. */
export const entrySettingsSchema = z.strictObject({
  $schema: z.string().optional(),
  /** Name of this entry, unique among all entries. */
  entryId: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  availabilityZone: z.string().min(1),
  /** Where callers' requests are taken. */
  requests: addressSchema,
  /** Where other entries connect. */
  peers: addressSchema,
  /** Where operators' commands are taken. */
  operators: addressSchema,
  /** Shared secret of operators' calls; without one only a loopback address is allowed. */
  operatorToken: z.string().min(16).optional(),
  /** Peer addresses (`IP:port`) tried while the store is down. */
  seedPeers: z.array(z.string()).default([]),
  store: z.strictObject({
    address: z.url(),
    timeoutMilliseconds: z.int().min(10).max(60_000).default(1_000),
    /** Calls a second that this entry may spend on the store. */
    callsPerSecond: z.int().min(1).default(40),
  }),
  instanceList: z.strictObject({ address: z.url() }),
  limits: z
    .strictObject({
      bodyBytes: z.int().min(1).default(1_048_576),
      answerBytes: z.int().min(1).default(8_388_608),
      /** Memory for the bodies of all requests in the entry. */
      bodyMemoryBytes: z.int().min(1).default(67_108_864),
      queuedRequests: z.int().min(1).default(10_000),
    })
    .prefault({}),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
  /** Where finished spans go. */
  traces: z
    .discriminatedUnion("exporter", [
      z.strictObject({ exporter: z.literal("none") }),
      z.strictObject({ exporter: z.literal("log") }),
      z.strictObject({ exporter: z.literal("otlp"), address: z.url() }),
    ])
    .default({ exporter: "none" }),
  /** Whether the planner moves instances or only logs and shows its plan. */
  planner: z.enum(["log", "move"]).default("log"),
  /** Seed of this entry's random choices. */
  seed: z.int().default(1),
});

/** An entry's settings. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/**
 * Checks settings.
 * @param value - decoded JSON
 * @returns the settings, or every fault with its path
 */
export function checkEntrySettings(value: unknown): Either<ParseFault[], EntrySettings> {
  return parseWith(entrySettingsSchema, value).chain((settings) => {
    if (settings.operatorToken !== undefined || isLoopback(settings.operators.host)) return Right(settings);
    const message = "without operatorToken the operators' address must be a loopback address";
    return Left([{ path: "operators.host", message }]);
  });
}

/**
 * Reads and checks a settings file.
 * @param path - the file
 * @returns the settings, or every fault
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
