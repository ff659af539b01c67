/**
 * Finds the name that was probably meant by a misspelt one.
 * @packageDocumentation
 */

const maximumEditRatio = 0.4;

/**
 * Finds the nearest name by edit distance.
 * @param name - the misspelt name
 * @param known - the names that exist
 * @returns the nearest, or undefined when none is near
 */
export function findNearestName(name: string, known: readonly string[]): string | undefined {
  const candidates = known
    .map((candidate) => ({ candidate, distance: editDistance(name, candidate) }))
    .filter(({ candidate, distance }) => distance <= candidate.length * maximumEditRatio)
    .sort((left, right) => left.distance - right.distance);
  return candidates[0]?.candidate;
}

/** Counts the insertions, deletions and replacements between two names (Levenshtein). */
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
