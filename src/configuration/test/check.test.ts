/**
 * Faults and warnings of configurations with their exact paths, and the committed JSON schema.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { format, resolveConfig } from "prettier";
import { expect, test } from "vitest";
import {
  checkConfiguration,
  createConfigurationJsonSchema,
  warnAboutConfiguration,
  type OperatorConfiguration,
} from "../index.js";

const exampleUrl = new URL("../../../examples/agency/text.json", import.meta.url);
const schemaUrl = new URL("../../../schemas/text.schema.json", import.meta.url);
const example = JSON.parse(await readFile(exampleUrl, "utf8")) as OperatorConfiguration;

/** A configuration typed as loose JSON, so that tests can make it invalid. */
interface LooseConfiguration {
  [key: string]: unknown;
  pools: Record<string, unknown>[];
  services: Record<string, unknown>[];
  teams: Record<string, unknown>[];
}

function pathsOf(breakConfiguration: (configuration: LooseConfiguration) => void): string[] {
  const configuration = structuredClone(example) as unknown;
  breakConfiguration(configuration as LooseConfiguration);
  return checkConfiguration(configuration)
    .swap()
    .orDefault([])
    .map(({ path }) => path);
}

function set(items: Record<string, unknown>[], index: number, changes: Record<string, unknown>): void {
  Object.assign(items[index] ?? {}, changes);
}

const brokenConfigurations: readonly [string, (configuration: LooseConfiguration) => void][] = [
  ["version", (configuration) => (configuration.version = 2)],
  [
    "pools[1].minimumInstances",
    ({ pools }) => {
      set(pools, 1, { minimumInstances: -1 });
    },
  ],
  [
    "pools[4].name",
    ({ pools }) => {
      set(pools, 4, { name: "quotes" });
    },
  ],
  [
    "services[0].pool",
    ({ services }) => {
      set(services, 0, { pool: "quote" });
    },
  ],
  [
    "services[2].dependsOn[0]",
    ({ services }) => {
      set(services, 2, { dependsOn: ["nest"] });
    },
  ],
  [
    "services[3].availability.objective",
    ({ services }) => {
      set(services, 3, { availability: { objective: 1 } });
    },
  ],
  [
    "services[1].deadlineMillisecond",
    ({ services }) => {
      set(services, 1, { deadlineMillisecond: 5 });
    },
  ],
  [
    "services[0].operations[0].idempotent",
    ({ services }) => {
      set(services, 0, { operations: [{ name: "quote" }] });
    },
  ],
  [
    "services[1].dependsOn",
    ({ services }) => {
      set(services, 1, { dependsOn: ["nesting"] });
    },
  ],
  [
    "teams[2].quota",
    ({ teams }) => {
      set(teams, 2, { quota: 1.5 });
    },
  ],
];

test("the example configuration has neither faults nor warnings", () => {
  expect(checkConfiguration(example).isRight()).toBe(true);
  expect(warnAboutConfiguration(checkConfiguration(example).unsafeCoerce())).toEqual([]);
});

test.each(brokenConfigurations)(
  "an invalid configuration is reported with exactly the path %s",
  (path, breakConfiguration) => {
    expect(pathsOf(breakConfiguration)).toEqual([path]);
  },
);

test("faults of the schema and of references are reported together", () => {
  const paths = pathsOf(({ pools, services, teams }) => {
    set(pools, 0, { minimumInstances: "six", minimumInstance: 6 });
    set(services, 0, { pool: "none", dependsOn: ["quotes"] });
    set(teams, 1, { name: "plants" });
  });
  expect(paths.toSorted()).toEqual([
    "pools[0].minimumInstance",
    "pools[0].minimumInstances",
    "services[0].dependsOn",
    "services[0].pool",
    "teams[1].name",
  ]);
});

test("the message for an unknown key suggests the nearest known key", () => {
  const configuration = JSON.parse(JSON.stringify(example)) as LooseConfiguration;
  set(configuration.services, 0, { dependOn: [] });
  const faults = checkConfiguration(configuration).swap().orDefault([]);
  expect(faults).toEqual([
    { path: "services[0].dependOn", message: 'the key "dependOn" is unknown; did you mean "dependsOn"?' },
  ]);
});

test("valid but unwise settings give warnings", () => {
  const configuration = JSON.parse(JSON.stringify(example)) as LooseConfiguration;
  set(configuration.pools, 0, { minimumInstances: 0 });
  set(configuration.services, 1, { availability: { objective: 0.99999, windowSeconds: 3600 } });
  set(configuration.services, 2, { deadlineMilliseconds: 50 });
  configuration.pools.push({ name: "unused", minimumInstances: 1 });
  set(configuration.teams, 0, { quota: 1 });
  const paths = warnAboutConfiguration(checkConfiguration(configuration).unsafeCoerce()).map(
    ({ path }) => path,
  );
  expect(paths.toSorted()).toEqual([
    "pools[0].minimumInstances",
    "pools[5]",
    "services[0].availability",
    "services[1].availability",
    "services[2].operations[0].expectedMilliseconds",
    "teams[0].quota",
  ]);
});

test("the committed JSON schema matches the schema in the code", async () => {
  const options = await resolveConfig(schemaUrl);
  const text = await format(JSON.stringify(createConfigurationJsonSchema()), { ...options, parser: "json" });
  await expect(text).toMatchFileSnapshot(schemaUrl.pathname);
});
