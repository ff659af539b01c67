/**
 * Runs an entry as a separate process.
 * @packageDocumentation
 */
import { once } from "node:events";
import { readEntrySettings } from "../settings/index.js";
import { startEntry } from "../wiring/index.js";

const failureExitCode = 1;
const usageErrorExitCode = 2;

/**
 * Runs an entry until SIGTERM or SIGINT, then stops it gracefully. Its identifier and addresses are written to standard
 * output as one line of JSON, errors to standard error.
 * @param settingsPath - path of the settings file
 * @returns the exit code: 0 after a signal, 1 when the entry could not start or stop, 2 when the settings are not valid
 */
export async function runEntryDaemon(settingsPath: string): Promise<number> {
  const settings = await readEntrySettings(settingsPath);
  if (settings.isLeft()) {
    for (const { path, message } of settings.swap().orDefault([])) {
      process.stderr.write(`${settingsPath}: ${path}: ${message}\n`);
    }
    return usageErrorExitCode;
  }
  try {
    const entry = await startEntry(settings.unsafeCoerce());
    process.stdout.write(`${JSON.stringify({ entryId: entry.entryId, ...entry.addresses })}\n`);
    await Promise.race([once(process, "SIGTERM"), once(process, "SIGINT")]);
    await entry.stop();
    return 0;
  } catch (error) {
    process.stderr.write(`${settingsPath}: the entry could not start: ${(error as Error).message}\n`);
    return failureExitCode;
  }
}
