/**
 * JSON schema of the operators' configuration, for editors and for naming the keys that a place may hold.
 * @packageDocumentation
 */
import * as z from "zod";
import { operatorConfigurationSchema } from "./configuration-schema.js";

/** The part of a JSON schema that is read here. */
interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
}

/**
 * Creates the JSON schema of the configuration as operators write it.
 * @returns the schema
 */
export function createConfigurationJsonSchema(): z.core.JSONSchema.JSONSchema {
  return {
    ...z.toJSONSchema(operatorConfigurationSchema, { io: "input" }),
    title: "Operators' text of dogwoodhoist",
  };
}

/**
 * Finds the keys that an object of the configuration may hold.
 * @param path - where the object is
 * @returns the known keys
 */
export function findKnownKeys(path: readonly PropertyKey[]): string[] {
  const root = createConfigurationJsonSchema() as SchemaNode;
  const node = path.reduce<SchemaNode | undefined>(
    (parent, part) => (typeof part === "number" ? parent?.items : parent?.properties?.[String(part)]),
    root,
  );
  return Object.keys(node?.properties ?? {});
}
