/**
 * The one module that builds an entry from its parts.
 * @packageDocumentation
 */
export { startEntry, type Entry } from "./entry.js";
export type { CreateAllocator } from "./request-path.js";
export { startJobEntry, type JobEntry, type JobEntryOptions, type JobIngress } from "./job-entry.js";
