/**
 * A randomized soak test of the real program against stand-ins, with injected faults and checks of the service's promises.
 * @packageDocumentation
 */
export { restartBounds, soakBounds, type SoakBounds } from "./bounds.js";
export { formatEntryCosts, measureEntryCosts, type EntryCostOptions } from "./entry-cost.js";
export { faultNames, type FaultName } from "./fault-plan.js";
export { createHistory, type SoakHistory } from "./history.js";
export { regressionSeeds, type RegressionSeed } from "./regression-seeds.js";
export { formatReport } from "./report.js";
export { restartVariants, type RestartVariant } from "./restart-plan.js";
export { soakSizes } from "./sizes.js";
export { runSoak, type SoakOptions, type SoakResult } from "./soak.js";
export type {
  SoakRequest,
  EncodedRequest,
  EntryPorts,
  RunningService,
  SoakWire,
  TargetFaults,
  WrittenRecord,
} from "./wire.js";
