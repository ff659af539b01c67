/**
 * JSON schema of the operators' configuration, for editors and for suggesting known keys in error messages.
 * @packageDocumentation
 */
import * as z from "zod";
import { operatorConfigurationSchema } from "./configuration-schema.js";

/** The fields of a JSON schema node that this module reads. */
interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
}

/**
 * Creates the JSON schema of the configuration as operators write it: keys with a default are optional.
 * @returns the schema, the same as the committed `schemas/text.schema.json`
 */
export function createConfigurationJsonSchema(): z.core.JSONSchema.JSONSchema {
  return {
    ...z.toJSONSchema(operatorConfigurationSchema, { io: "input" }),
    title: "Operators' text of dogwoodhoist",
  };
}

/**
 * Finds the keys that the schema allows in an object of the configuration.
 * @param path - path of the object; numbers are list positions
 * @returns the known keys; empty when the schema has no object at the path
 */
export function findKnownKeys(path: readonly PropertyKey[]): string[] {
  const root = createConfigurationJsonSchema() as SchemaNode;
  const node = path.reduce<SchemaNode | undefined>(
    (parent, part) => (typeof part === "number" ? parent?.items : parent?.properties?.[String(part)]),
    root,
  );
  return Object.keys(node?.properties ?? {});
}
