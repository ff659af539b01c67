/**
 * Checks the operators' text whole: its form, its references and its dependencies.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { parseWith, type ParseFault } from "../shared/index.js";
import { textSchema, type OperatorText } from "./text-schema.js";

/**
 * Checks a text.
 * @param value - decoded JSON
 * @returns the text, or every fault with its path
 */
export function checkText(value: unknown): Either<ParseFault[], OperatorText> {
  return parseWith(textSchema, value).chain((text) => {
    const faults = [...findDuplicates(text), ...findUnknownReferences(text), ...findCycles(text)];
    return faults.length === 0 ? Right(text) : Left(faults);
  });
}

function findDuplicates(text: OperatorText): ParseFault[] {
  const lists = {
    pools: text.pools,
    services: text.services,
    teams: text.teams,
  };
  const topLevel = Object.entries(lists).flatMap(([list, items]) => findRepeatedNames(list, items));
  const operations = text.services.flatMap((service, index) =>
    findRepeatedNames(`services[${index}].operations`, service.operations),
  );
  return [...topLevel, ...operations];
}

function findRepeatedNames(list: string, items: readonly { readonly name: string }[]): ParseFault[] {
  const seen = new Set<string>();
  return items.flatMap(({ name }, index) => {
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    return [{ path: `${list}[${index}].name`, message: `"${name}" is named twice` }];
  });
}

function findUnknownReferences(text: OperatorText): ParseFault[] {
  const pools = new Set(text.pools.map(({ name }) => name));
  const services = new Set(text.services.map(({ name }) => name));
  return text.services.flatMap((service, index) => {
    const dependencies = service.dependsOn.flatMap((name, position) =>
      services.has(name)
        ? []
        : [
            {
              path: `services[${index}].dependsOn[${position}]`,
              message: `service "${name}" does not exist`,
            },
          ],
    );
    if (pools.has(service.pool)) return dependencies;
    return [
      { path: `services[${index}].pool`, message: `pool "${service.pool}" does not exist` },
      ...dependencies,
    ];
  });
}

function findCycles(text: OperatorText): ParseFault[] {
  const dependencies = new Map(text.services.map(({ name, dependsOn }) => [name, dependsOn]));
  return text.services.flatMap(({ name }, index) => {
    const cycle = findPathBack(name, dependencies);
    if (cycle === undefined) return [];
    const message = `"${name}" depends on itself through ${cycle.join(" -> ")}`;
    return [{ path: `services[${index}].dependsOn`, message }];
  });
}

function findPathBack(
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
