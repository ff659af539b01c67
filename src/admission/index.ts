/**
 * Admission control: decides which requests wait for a slot, in which order, and which are refused at once.
 * @packageDocumentation
 */
export { DeadlineQueue } from "./deadline-queue.js";
export { createRunTimes, type RunTimes } from "./run-times.js";
export {
  AdmissionQueue,
  type AdmissionQueueParts,
  type AdmissionRefusal,
  type QueuedRequest,
} from "./admission-queue.js";
