/**
 * Checks the form of the operators' text, with the exact path of each fault.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { z } from "zod";
import { formatPath, type ParseFault } from "../shared/index.js";
import { findKnownKeys } from "./json-schema.js";
import { findNearestName } from "./nearest-name.js";
import { textSchema, type OperatorText } from "./text-schema.js";

/**
 * Checks the form of a text.
 * @param value - decoded JSON
 * @returns the text, or every fault of its form
 */
export function checkForm(value: unknown): Either<ParseFault[], OperatorText> {
  const result = textSchema.safeParse(value);
  return result.success ? Right(result.data) : Left(result.error.issues.flatMap(describeIssue));
}

function describeIssue(issue: z.core.$ZodIssue): ParseFault[] {
  if (issue.code !== "unrecognized_keys") return [{ path: formatPath(issue.path), message: issue.message }];
  const known = findKnownKeys(issue.path);
  return issue.keys.map((key) => ({
    path: formatPath([...issue.path, key]),
    message: describeUnknownKey(key, known),
  }));
}

function describeUnknownKey(key: string, known: readonly string[]): string {
  const nearest = findNearestName(key, known);
  const hint = nearest === undefined ? `known are ${known.join(", ")}` : `did you mean "${nearest}"?`;
  return `the key "${key}" is unknown; ${hint}`;
}
