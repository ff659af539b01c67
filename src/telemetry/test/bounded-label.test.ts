/**
 * The number of values of a bounded label stays limited.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createBoundedLabel } from "../index.js";

test("the first values are kept, all later ones are replaced by a common value", () => {
  const label = createBoundedLabel(2);
  expect(["a", "b", "a", "c", "d", "b"].map(label)).toEqual(["a", "b", "a", "other", "other", "b"]);
});
