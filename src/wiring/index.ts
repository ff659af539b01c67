/**
 * Composition root: the only module that builds an entry from its components.
 * @packageDocumentation
 */
export { startEntry, type Entry } from "./entry.js";
export type { CreateAllocator } from "./request-path.js";
export { startJobEntry, type JobEntry, type JobEntryOptions, type JobIngress } from "./job-entry.js";
