/**
 * Running of callers' requests.
 * @packageDocumentation
 */
export type { Outcome, OutcomeKind, RefusalReason } from "./outcome.js";
export { createExecutor, type CallerRequest, type Executor, type ExecutorParts } from "./executor.js";
