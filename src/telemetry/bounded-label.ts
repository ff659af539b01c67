/**
 * Metric labels with a bounded number of values, which limits the number of series when label values come from a
 * configuration.
 * @packageDocumentation
 */

const otherLabel = "other";

/**
 * Creates a function that limits the number of distinct values of a label.
 * @param maximum - number of distinct values that are kept, in order of first use
 * @returns maps a kept value to itself and every other value to `other`
 */
export function createBoundedLabel(maximum: number): (value: string) => string {
  const keptValues = new Set<string>();
  return (value) => {
    if (keptValues.has(value)) return value;
    if (keptValues.size >= maximum) return otherLabel;
    keptValues.add(value);
    return value;
  };
}
