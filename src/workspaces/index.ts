/**
 * Workspaces that compete for a fleet's room: who they are, what each may run, and how a full pool is shared.
 * @packageDocumentation
 */
export { createFairShares, type FairSharesOptions } from "./fair-shares.js";
export type { FairShares, HomeWorkspaces, PoolQuotas, ShareRates } from "./home-workspaces.js";
export {
  createWorkspaceTable,
  type Workspace,
  type WorkspaceDefinition,
  type WorkspaceTable,
} from "./workspace.js";
