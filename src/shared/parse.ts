/**
 * Checking of outside data against a schema, with the path of every fault.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { z } from "zod";

/** One fault in outside data. */
export interface ParseFault {
  /** Where the fault is, such as `pools[2].name`; empty for the whole. */
  readonly path: string;
  /** What is wrong and what was expected. */
  readonly message: string;
}

/**
 * Checks a value against a schema.
 * @param schema - what is expected
 * @param value - the outside data
 * @returns the typed value, or every fault with its path
 */
export function parseWith<Output>(schema: z.ZodType<Output>, value: unknown): Either<ParseFault[], Output> {
  const result = schema.safeParse(value);
  if (result.success) return Right(result.data);
  return Left(result.error.issues.map((issue) => ({ path: formatPath(issue.path), message: issue.message })));
}

/**
 * Formats a path.
 * @param path - keys and positions from the whole inwards
 * @returns the path such as `pools[2].name`
 */
export function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === "number") return `${text}[${part}]`;
    return text === "" ? String(part) : `${text}.${String(part)}`;
  }, "");
}
