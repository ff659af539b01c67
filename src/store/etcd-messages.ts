/**
 * Messages of the etcd v3 JSON gateway, the published protocol of the key-value service.
 * Keys and values travel in base64, 64-bit numbers as decimal strings.
 * @packageDocumentation
 */
import * as z from "zod";

const int64 = z.union([z.string(), z.number()]).transform(Number);

/** A key with its value. */
export const keyValueSchema = z.object({
  key: z.string(),
  value: z.string().default(""),
  mod_revision: int64.default(0),
  lease: z.string().optional(),
});

const headerSchema = z.object({ revision: int64 });

/** The answer to `/v3/kv/range`. */
export const rangeResponseSchema = z.object({
  header: headerSchema,
  kvs: z.array(keyValueSchema).default([]),
});

/** The answer to `/v3/kv/txn`. */
export const transactionResponseSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z
    .array(z.object({ response_range: z.object({ kvs: z.array(keyValueSchema).default([]) }).optional() }))
    .default([]),
});

/** The answer to `/v3/lease/grant`. */
export const leaseGrantResponseSchema = z.object({ ID: z.string(), TTL: int64 });

/** The answer to `/v3/lease/keepalive`. */
export const leaseKeepAliveResponseSchema = z.object({
  result: z.object({ ID: z.string(), TTL: int64.default(0) }),
});

/** One line of the answer to `/v3/watch`. */
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

/** The request to `/v3/kv/range`. */
export const rangeRequestSchema = z.object({ key: z.string(), range_end: z.string().optional() });

/** The request to `/v3/kv/txn`, with the one comparison that the clients here use. */
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

/** The request to `/v3/lease/grant`. */
export const leaseGrantRequestSchema = z.object({ TTL: int64 });

/** The request to `/v3/lease/keepalive` and `/v3/lease/revoke`. */
export const leaseRequestSchema = z.object({ ID: z.string() });

/** The request to `/v3/watch`. */
export const watchRequestSchema = z.object({
  create_request: z.object({
    key: z.string(),
    range_end: z.string().optional(),
    start_revision: int64.default(0),
  }),
});

/**
 * Encodes a key or value.
 * @param text - any text
 * @returns its base64 form
 */
export function encodeText(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

/**
 * Decodes a key or value.
 * @param encoded - base64
 * @returns the text
 */
export function decodeText(encoded: string): string {
  return Buffer.from(encoded, "base64").toString("utf8");
}

/**
 * Computes the end of the range that covers a prefix.
 * @param prefix - the common start of keys, not empty
 * @returns the first key behind the range
 */
export function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
