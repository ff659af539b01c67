/**
 * Checks the operators' configuration: its schema, unique names, references between its parts and dependency cycles.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import * as z from "zod";
import type { ParseFault } from "../shared/index.js";
import { checkForm } from "./configuration-form.js";
import type { OperatorConfiguration } from "./configuration-schema.js";

/**
 * Checks a configuration. Names and references are also checked when the schema finds faults, so that all faults are
 * reported together.
 * @param value - decoded JSON
 * @returns the configuration with defaults filled in, or every fault with its path
 */
export function checkConfiguration(value: unknown): Either<ParseFault[], OperatorConfiguration> {
  const names = namesSchema.parse(value);
  const references = [...findDuplicates(names), ...findUnknownReferences(names), ...findCycles(names)];
  return checkForm(value).caseOf<Either<ParseFault[], OperatorConfiguration>>({
    Left: (faults) => Left([...faults, ...references]),
    Right: (configuration) => (references.length === 0 ? Right(configuration) : Left(references)),
  });
}

const nameSchema = z.string().catch("");
const namedSchema = z.object({ name: nameSchema }).catch({ name: "" });
const namedServiceSchema = z
  .object({
    name: nameSchema,
    pool: nameSchema,
    dependsOn: z.array(nameSchema).catch([]),
    operations: z.array(namedSchema).catch([]),
  })
  .catch({ name: "", pool: "", dependsOn: [], operations: [] });

/** Extracts the names from any value, valid or not. A missing or malformed name becomes "" and is not checked. */
const namesSchema = z
  .object({
    pools: z.array(namedSchema).catch([]),
    services: z.array(namedServiceSchema).catch([]),
    teams: z.array(namedSchema).catch([]),
  })
  .catch({ pools: [], services: [], teams: [] });

type ConfigurationNames = z.infer<typeof namesSchema>;

function findDuplicates(configuration: ConfigurationNames): ParseFault[] {
  const lists = {
    pools: configuration.pools,
    services: configuration.services,
    teams: configuration.teams,
  };
  const topLevel = Object.entries(lists).flatMap(([list, items]) => findRepeatedNames(list, items));
  const operations = configuration.services.flatMap((service, index) =>
    findRepeatedNames(`services[${index}].operations`, service.operations),
  );
  return [...topLevel, ...operations];
}

function findRepeatedNames(list: string, items: readonly { readonly name: string }[]): ParseFault[] {
  const seen = new Set<string>();
  return items.flatMap(({ name }, index) => {
    if (name === "" || !seen.has(name)) {
      seen.add(name);
      return [];
    }
    return [{ path: `${list}[${index}].name`, message: `the name "${name}" is already in use` }];
  });
}

function findUnknownReferences(configuration: ConfigurationNames): ParseFault[] {
  const pools = new Set(configuration.pools.map(({ name }) => name));
  const services = new Set(configuration.services.map(({ name }) => name));
  return configuration.services.flatMap((service, index) => {
    const dependencies = service.dependsOn.flatMap((name, position) =>
      name === "" || services.has(name)
        ? []
        : [
            {
              path: `services[${index}].dependsOn[${position}]`,
              message: `service "${name}" does not exist`,
            },
          ],
    );
    if (service.pool === "" || pools.has(service.pool)) return dependencies;
    return [
      { path: `services[${index}].pool`, message: `pool "${service.pool}" does not exist` },
      ...dependencies,
    ];
  });
}

function findCycles(configuration: ConfigurationNames): ParseFault[] {
  const dependencies = new Map(configuration.services.map(({ name, dependsOn }) => [name, dependsOn]));
  return configuration.services.flatMap(({ name }, index) => {
    if (name === "") return [];
    const cycle = findCycle(name, dependencies);
    if (cycle === undefined) return [];
    const message = `"${name}" depends on itself through ${cycle.join(" -> ")}`;
    return [{ path: `services[${index}].dependsOn`, message }];
  });
}

/** Searches depth first for a path of dependencies from a service back to itself; undefined when there is none. */
function findCycle(
  start: string,
  dependencies: ReadonlyMap<string, readonly string[]>,
): readonly string[] | undefined {
  const visited = new Set<string>();
  const search = (path: readonly string[]): readonly string[] | undefined => {
    const last = path.at(-1) ?? start;
    for (const next of dependencies.get(last) ?? []) {
      if (next === start) return [...path, next];
      if (visited.has(next)) continue;
      visited.add(next);
      const found = search([...path, next]);
      if (found !== undefined) return found;
    }
    return undefined;
  };
  return search([start]);
}
