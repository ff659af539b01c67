/**
 * Validates the operators' configuration against its schema and reports the exact path of each fault.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { z } from "zod";
import { formatPath, type ParseFault } from "../shared/index.js";
import { findKnownKeys } from "./json-schema.js";
import { findNearestName } from "./nearest-name.js";
import { operatorConfigurationSchema, type OperatorConfiguration } from "./configuration-schema.js";

/**
 * Validates a configuration against the schema only; references between its parts are not checked.
 * @param value - decoded JSON
 * @returns the configuration with defaults filled in, or every fault that the schema finds
 */
export function checkForm(value: unknown): Either<ParseFault[], OperatorConfiguration> {
  const result = operatorConfigurationSchema.safeParse(value);
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
