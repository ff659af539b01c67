/**
 * Validation of external data against a schema, with the path of every fault.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { z } from "zod";

/** One fault in external data. */
export interface ParseFault {
  /** Where the fault is, such as `pools[2].name`; empty when it concerns the whole value. */
  readonly path: string;
  /** Description of the fault and of what the schema expects. */
  readonly message: string;
}

/**
 * Checks a value against a schema.
 * @param schema - the schema, which may also transform the value and add defaults
 * @param value - the external data
 * @returns the parsed value, or every fault with its path
 */
export function parseWith<Output>(schema: z.ZodType<Output>, value: unknown): Either<ParseFault[], Output> {
  const result = schema.safeParse(value);
  if (result.success) return Right(result.data);
  return Left(result.error.issues.map((issue) => ({ path: formatPath(issue.path), message: issue.message })));
}

/**
 * Formats the path of a fault.
 * @param path - property names and array indexes, outermost first
 * @returns the path such as `pools[2].name`; empty for an empty path
 */
export function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === "number") return `${text}[${part}]`;
    return text === "" ? String(part) : `${text}.${String(part)}`;
  }, "");
}
