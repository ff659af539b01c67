/**
 * Labels of metrics whose values come from a configuration, so that a process that sees many of them keeps few series.
 * @packageDocumentation
 */

const otherLabel = "other";

/**
 * Creates a label with a bounded number of values.
 * @param maximum - how many values are told apart
 * @returns gives each of the first values as it is, and `other` for all that come after them
 */
export function createBoundedLabel(maximum: number): (value: string) => string {
  const known = new Set<string>();
  return (value) => {
    if (known.has(value)) return value;
    if (known.size >= maximum) return otherLabel;
    known.add(value);
    return value;
  };
}
