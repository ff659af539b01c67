/**
 * Time limits of the soak, equal to those in the users' site files.
 * @packageDocumentation
 */

/** Time limits in milliseconds: entries get them in their settings, and the checks judge the history by them. */
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

/** The limits of the site `snpm-andes`. */
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

/** The limits for rounds of restarts and cuts: targets grant leases as long as those of the site `dh-iarna`. */
export const restartBounds: SoakBounds = { ...soakBounds, longestRunLeaseMilliseconds: 10_000 };
