/**
 * Workspaces that compete for a fleet's capacity: identification by key, quotas, and fair shares of full pools.
 * @packageDocumentation
 */
export { createFairShares, type FairSharesOptions } from "./fair-shares.js";
export { createPoolQuotas, type ClosablePoolQuotas, type PoolQuotasOptions } from "./pool-quotas.js";
export { createQuotaCache, type QuotaCache } from "./quota-cache.js";
export { quotaPrefix } from "./quota-record.js";
export type { FairShares, OwnerWorkspaces, PoolQuotas, ShareRates } from "./owner-workspaces.js";
export { identifyCaller, type CallerIdentity, type KeyFault } from "./identify-caller.js";
export {
  createWorkspaceTable,
  type Workspace,
  type WorkspaceDefinition,
  type WorkspaceTable,
} from "./workspace.js";
export { describeWorkspaceChanges } from "./workspace-changes.js";
