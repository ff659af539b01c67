/**
 * The entry as a process of its own.
 * @packageDocumentation
 */
import { once } from "node:events";
import { readEntrySettings } from "../settings/index.js";
import { startEntry } from "../wiring/index.js";

const failureExitCode = 1;
const usageErrorExitCode = 2;

/**
 * Runs an entry until SIGTERM or SIGINT, then lets its requests end.
 * @param settingsPath - the settings file
 * @returns the exit code
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
