/**
 * A label stays bounded however many values come.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createBoundedLabel } from "../index.js";

test("the first values are told apart for good, all others are one", () => {
  const label = createBoundedLabel(2);
  expect(["a", "b", "a", "c", "d", "b"].map(label)).toEqual(["a", "b", "a", "other", "other", "b"]);
});
