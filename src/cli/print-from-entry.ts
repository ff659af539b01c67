/**
 * Prints what an entry answers to a read of its operators' interface.
 * @packageDocumentation
 */
import { readFromEntry } from "./operator-client.js";
import { operatorAddress, reportFailure, writeLine } from "./shared-arguments.js";

/**
 * Reads from an entry and writes the value to standard output, or reports why it could not be read.
 * @param args - the entry, its token, and whether the value is written on one line
 * @param path - the path to read
 */
export async function printFromEntry(
  args: { entry: string; token?: string | undefined; json: boolean },
  path: string,
): Promise<void> {
  const response = await readFromEntry(operatorAddress(args), path);
  response.caseOf({
    Left: reportFailure,
    Right: (value) => {
      writeLine(JSON.stringify(value, undefined, args.json ? 0 : 2));
    },
  });
}
