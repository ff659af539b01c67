/**
 * The sizes in which soaks are played.
 * @packageDocumentation
 */
import type { SoakSize } from "./platform-session.js";

/** The sizes by name: of drawn faults, and of rounds of restarts and cuts with one pool and with several. */
export const soakSizes = {
  drawn: { entries: 4, pools: 3, targetsPerPool: 4 },
  large: { entries: 30, pools: 6, targetsPerPool: 8 },
  restarts: { entries: 3, pools: 1, targetsPerPool: 9, targetsPerRack: 1 },
  restartsOfPools: { entries: 8, pools: 4, targetsPerPool: 6, targetsPerRack: 1 },
} as const satisfies Record<string, SoakSize>;
