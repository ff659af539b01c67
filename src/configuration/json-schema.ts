/**
 * JSON schema of the operators' text, for editors and for naming the keys that a place may hold.
 * @packageDocumentation
 */
import * as z from "zod";
import { textSchema } from "./text-schema.js";

/** The part of a JSON schema that is read here. */
interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
}

/**
 * Creates the JSON schema of the text as operators write it.
 * @returns the schema
 */
export function createTextJsonSchema(): z.core.JSONSchema.JSONSchema {
  return {
    ...z.toJSONSchema(textSchema, { io: "input" }),
    title: "Operators' text of dogwoodhoist",
  };
}

/**
 * Finds the keys that an object of the text may hold.
 * @param path - where the object is
 * @returns the known keys
 */
export function findKnownKeys(path: readonly PropertyKey[]): string[] {
  const root = createTextJsonSchema() as SchemaNode;
  const node = path.reduce<SchemaNode | undefined>(
    (parent, part) => (typeof part === "number" ? parent?.items : parent?.properties?.[String(part)]),
    root,
  );
  return Object.keys(node?.properties ?? {});
}
