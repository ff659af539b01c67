/**
 * Frames between entries, and the definition of calls, which other modules add.
 * @packageDocumentation
 */
import * as z from "zod";
import { parseWith } from "../shared/index.js";

/** Definition of a call from one entry to another. */
export interface PeerCall<Request, Reply> {
  readonly name: string;
  readonly request: z.ZodType<Request>;
  readonly reply: z.ZodType<Reply>;
}

/**
 * Defines a call between entries.
 * @param name - unique name, `module.verb`
 * @param request - schema that the handler checks requests against
 * @param reply - schema that the caller checks replies against
 * @returns the definition, shared by caller and handler
 */
export function definePeerCall<Request, Reply>(
  name: string,
  request: z.ZodType<Request>,
  reply: z.ZodType<Reply>,
): PeerCall<Request, Reply> {
  return { name, request, reply };
}

/** Schema of one entry's record in the member list. */
export const memberRecordSchema = z.object({
  entryId: z.string(),
  /** Start time of the process, higher after each restart. */
  incarnation: z.number(),
  /** `IP:port` where peers connect. */
  peerAddress: z.string(),
  zone: z.string(),
  /** Capacity of the entry in cores; an entry without this field counts as one core. */
  capacityCores: z.number().positive().optional(),
});

/** Record of one entry in the member list. */
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/**
 * Decodes one entry's record.
 * @param value - the stored value
 * @returns the record; undefined when the value does not match the schema
 */
export function parseMemberRecord(value: unknown): MemberRecord | undefined {
  return parseWith(memberRecordSchema, value).caseOf<MemberRecord | undefined>({
    Left: () => undefined,
    Right: (record) => record,
  });
}

/** Fetches the member list of an entry. */
export const memberListCall = definePeerCall(
  "membership.roster",
  z.object({}),
  z.object({ records: z.array(memberRecordSchema) }),
);

/** Schema of a frame on a connection between entries. */
export const frameSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("hello"), entryId: z.string(), incarnation: z.number(), zone: z.string() }),
  z.object({
    kind: z.literal("heartbeat"),
    entryId: z.string(),
    /** Numbers added with `PeerNetwork.report`, by name. */
    reports: z.record(z.string(), z.number()),
  }),
  /** A heartbeat whose reports are unchanged since the last `heartbeat` on the connection. */
  z.object({ kind: z.literal("alive") }),
  z.object({ kind: z.literal("call"), id: z.number(), name: z.string(), body: z.unknown() }),
  z.object({ kind: z.literal("reply"), id: z.number(), body: z.unknown() }),
  z.object({ kind: z.literal("failure"), id: z.number(), reason: z.string() }),
]);

/** A frame on a connection between entries. */
export type Frame = z.infer<typeof frameSchema>;
