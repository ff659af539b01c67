/**
 * The JSON schema for editors is generated from the schema that validates the settings.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import * as z from "zod";
import { entrySettingsSchema } from "../index.js";

test("the committed schema is up to date", async () => {
  const schema = z.toJSONSchema(entrySettingsSchema, { io: "input" });
  await expect(`${JSON.stringify(schema, undefined, 2)}\n`).toMatchFileSnapshot(
    "../../../schemas/entry-settings.schema.json",
  );
});
