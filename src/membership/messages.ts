/**
 * Frames between entries and the definition of calls that the slices add.
 * @packageDocumentation
 */
import * as z from "zod";
import { parseWith } from "../shared/index.js";

/** A call that one entry makes to another. */
export interface PeerCall<Request, Reply> {
  readonly name: string;
  readonly request: z.ZodType<Request>;
  readonly reply: z.ZodType<Reply>;
}

/**
 * Defines a call between entries.
 * @param name - unique name, `slice.verb`
 * @param request - form of the request
 * @param reply - form of the reply
 * @returns the definition that caller and answerer share
 */
export function definePeerCall<Request, Reply>(
  name: string,
  request: z.ZodType<Request>,
  reply: z.ZodType<Reply>,
): PeerCall<Request, Reply> {
  return { name, request, reply };
}

/** Checks one entry's record in the member list. */
export const memberRecordSchema = z.object({
  entryId: z.string(),
  /** Start time of the process, higher after each restart. */
  incarnation: z.number(),
  /** `IP:port` where peers connect. */
  peerAddress: z.string(),
  zone: z.string(),
  /** How much work the entry can do, in cores; entries that do not tell count as one. */
  capacityCores: z.number().positive().optional(),
});

/** One entry's record. */
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/**
 * Reads one entry's record.
 * @param value - the stored value
 * @returns the record; undefined when the value is not one
 */
export function parseMemberRecord(value: unknown): MemberRecord | undefined {
  return parseWith(memberRecordSchema, value).caseOf<MemberRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}

/** Asks an entry for the member list that it knows. */
export const memberListCall = definePeerCall(
  "membership.roster",
  z.object({}),
  z.object({ records: z.array(memberRecordSchema) }),
);

/** Checks a frame on a connection between entries. */
export const frameSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("hello"), entryId: z.string(), incarnation: z.number(), zone: z.string() }),
  z.object({
    kind: z.literal("heartbeat"),
    entryId: z.string(),
    /** Numbers that slices report, by name. */
    reports: z.record(z.string(), z.number()),
  }),
  /** A heartbeat whose reports are those of the last one on the connection. */
  z.object({ kind: z.literal("alive") }),
  z.object({ kind: z.literal("call"), id: z.number(), name: z.string(), body: z.unknown() }),
  z.object({ kind: z.literal("reply"), id: z.number(), body: z.unknown() }),
  z.object({ kind: z.literal("failure"), id: z.number(), reason: z.string() }),
]);

/** A frame on a connection between entries. */
export type Frame = z.infer<typeof frameSchema>;
