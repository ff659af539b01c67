/**
 * Suggests a known name for a misspelt one.
 * @packageDocumentation
 */

/** Largest edit distance, as a share of the known name's length; a higher one suggests unrelated names. */
const maximumEditRatio = 0.4;

/**
 * Finds the known name with the smallest edit distance.
 * @param name - the misspelt name
 * @param known - the names to choose from
 * @returns the nearest name; undefined when none is similar enough
 */
export function findNearestName(name: string, known: readonly string[]): string | undefined {
  const candidates = known
    .map((candidate) => ({ candidate, distance: editDistance(name, candidate) }))
    .filter(({ candidate, distance }) => distance <= candidate.length * maximumEditRatio)
    .sort((left, right) => left.distance - right.distance);
  return candidates[0]?.candidate;
}

/** Computes the Levenshtein distance: the fewest insertions, deletions and substitutions between two names. */
function editDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, column) => column);
  for (const [row, character] of Array.from(left).entries()) {
    const current = [row + 1];
    for (const [column, other] of Array.from(right).entries()) {
      const substitution = (previous[column] ?? 0) + (character === other ? 0 : 1);
      current.push(Math.min(substitution, (previous[column + 1] ?? 0) + 1, (current[column] ?? 0) + 1));
    }
    previous = current;
  }
  return previous.at(-1) ?? 0;
}
