/**
 * Daemons: an entry and the stand-ins, each as a separate process.
 * @packageDocumentation
 */
export { runEntryDaemon } from "./entry-daemon.js";
export { runStandInDaemon, type StandInDaemonOptions, type StandInKind } from "./stand-in-daemon.js";
