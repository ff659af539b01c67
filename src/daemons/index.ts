/**
 * Processes that run the library's parts.
 * @packageDocumentation
 */
export { runEntryDaemon } from "./entry-daemon.js";
export { runStandInDaemon, type StandInDaemonOptions, type StandInKind } from "./stand-in-daemon.js";
