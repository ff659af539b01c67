/**
 * Bounds of the soak, as the users' site files state them.
 * @packageDocumentation
 */

/** Bounds that entries are told and that the checks use, in milliseconds. */
export interface SoakBounds {
  readonly heartbeatMilliseconds: number;
  readonly contactMilliseconds: number;
  readonly drainMilliseconds: number;
  readonly graceMilliseconds: number;
  readonly lossSlackMilliseconds: number;
  readonly configurationMilliseconds: number;
  readonly longestRunLeaseMilliseconds: number;
  readonly stopMilliseconds: number;
  readonly cancelMilliseconds: number;
  readonly visibleMilliseconds: number;
  readonly finishMilliseconds: number;
  readonly statusMilliseconds: number;
  readonly moveMilliseconds: number;
  readonly maintenanceMilliseconds: number;
  readonly orderLeaseMilliseconds: number;
  readonly noticeMilliseconds: number;
}

/** The bounds of `snpm-andes`. */
export const soakBounds: SoakBounds = {
  heartbeatMilliseconds: 1_500,
  contactMilliseconds: 3_000,
  drainMilliseconds: 2_000,
  graceMilliseconds: 6_000,
  lossSlackMilliseconds: 200,
  configurationMilliseconds: 2_000,
  longestRunLeaseMilliseconds: 6_000,
  stopMilliseconds: 900,
  cancelMilliseconds: 3_000,
  visibleMilliseconds: 3_000,
  finishMilliseconds: 14_000,
  statusMilliseconds: 120_000,
  moveMilliseconds: 1_500,
  maintenanceMilliseconds: 2_000,
  orderLeaseMilliseconds: 3_000,
  noticeMilliseconds: 4_500,
};
