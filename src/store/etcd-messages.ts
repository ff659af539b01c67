/**
 * Messages of the etcd v3 JSON gateway, the published protocol of the key-value store.
 * Keys and values are encoded in base64, 64-bit integers as decimal strings.
 * @packageDocumentation
 */
import * as z from "zod";

/** A 64-bit integer; accepted as a string or a number. Values above 2^53 lose precision. */
const int64 = z.union([z.string(), z.number()]).transform(Number);

/** A key with its value. */
export const keyValueSchema = z.object({
  key: z.string(),
  value: z.string().default(""),
  mod_revision: int64.default(0),
  lease: z.string().optional(),
});

const headerSchema = z.object({ revision: int64 });

/** Response of `/v3/kv/range`. */
export const rangeResponseSchema = z.object({
  header: headerSchema,
  kvs: z.array(keyValueSchema).default([]),
});

/** Response of `/v3/kv/txn`. */
export const transactionResponseSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z
    .array(z.object({ response_range: z.object({ kvs: z.array(keyValueSchema).default([]) }).optional() }))
    .default([]),
});

/** Response of `/v3/lease/grant`. */
export const leaseGrantResponseSchema = z.object({ ID: z.string(), TTL: int64 });

/** Response of `/v3/lease/keepalive`; a time to live of 0 means that the lease has ended. */
export const leaseKeepAliveResponseSchema = z.object({
  result: z.object({ ID: z.string(), TTL: int64.default(0) }),
});

/** One line of the response stream of `/v3/watch`. */
export const watchResponseSchema = z.object({
  result: z.object({
    header: headerSchema.optional(),
    created: z.boolean().optional(),
    canceled: z.boolean().optional(),
    events: z
      .array(z.object({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: keyValueSchema }))
      .default([]),
  }),
});

/** Request of `/v3/kv/range`; without `range_end` it reads a single key. */
export const rangeRequestSchema = z.object({ key: z.string(), range_end: z.string().optional() });

/** Request of `/v3/kv/txn`, restricted to the comparison of one key's revision that `EtcdStoreClient` sends. */
export const transactionRequestSchema = z.object({
  compare: z
    .array(
      z.object({
        key: z.string(),
        target: z.literal("MOD"),
        result: z.literal("EQUAL"),
        mod_revision: int64,
      }),
    )
    .length(1),
  success: z
    .array(
      z.object({
        request_put: z
          .object({ key: z.string(), value: z.string(), lease: z.string().optional() })
          .optional(),
        request_delete_range: z.object({ key: z.string() }).optional(),
      }),
    )
    .length(1),
  failure: z.array(z.object({ request_range: rangeRequestSchema })).max(1),
});

/** Request of `/v3/lease/grant`. */
export const leaseGrantRequestSchema = z.object({ TTL: int64 });

/** Request of `/v3/lease/keepalive` and `/v3/lease/revoke`. */
export const leaseRequestSchema = z.object({ ID: z.string() });

/** Request of `/v3/watch`. */
export const watchRequestSchema = z.object({
  create_request: z.object({
    key: z.string(),
    range_end: z.string().optional(),
    start_revision: int64.default(0),
  }),
});

/**
 * Encodes a key or value for the gateway.
 * @param text - any string; encoded as UTF-8
 * @returns base64
 */
export function encodeText(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

/**
 * Decodes a key or value of the gateway.
 * @param encoded - base64 of UTF-8 bytes
 * @returns the decoded string
 */
export function decodeText(encoded: string): string {
  return Buffer.from(encoded, "base64").toString("utf8");
}

/**
 * Computes the `range_end` that covers all keys with a prefix.
 * @param prefix - not empty; ends in an ASCII character, since the last UTF-16 unit is incremented
 * @returns the first key after the range (exclusive)
 */
export function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
