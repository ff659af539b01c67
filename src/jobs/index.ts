/**
 * Jobs, their steps and tasks: submitted definitions, stored records, and the state of accepted jobs.
 * @packageDocumentation
 */
export {
  isFinalState,
  jobDefinitionSchema,
  queueTermsSchema,
  resourcesSchema,
  type AdviceTiming,
  type JobDefinition,
  type JobState,
  type QueueTerms,
  type Repetition,
  type Resources,
  type StepDefinition,
} from "./definition.js";
export {
  decodeJobRecord,
  decodeProgressRecord,
  jobPrefix,
  progressPrefix,
  type JobRecord,
  type ProgressRecord,
} from "./records.js";
export {
  allTasks,
  countDue,
  createJob,
  isStepReady,
  isWorkDone,
  noteSuccess,
  openOccurrences,
  readJobState,
  type Job,
  type Occurrence,
  type Task,
  type TaskRun,
} from "./job.js";
export { encodeProgress } from "./encode-progress.js";
export { countTasks, describeExcess, hasTasks, maximumTasksPerJob } from "./job-size.js";
export { findQueue, type PoolTerms, type Queue, type QueueTable, type RequestLimits } from "./queue-table.js";
