/**
 * The leases that runs may hold on a target because of orders of earlier owners, or of orders to its former processes.
 * @packageDocumentation
 */
import type { FormerLease } from "../task-runs/index.js";
import { formerLeaseMilliseconds } from "./owner-takeover.js";

/** Durations of the leases of runs. */
export interface LeaseDurations {
  /** The lease that a target gets for its runs with each renewal. */
  readonly leaseMilliseconds: number;
  /** The longest lease that a target grants. */
  readonly longestLeaseMilliseconds: number;
}

/** Until when leases may last that this owner did not request from the present process of a target. */
export class FormerLeases {
  /** How long a lease may last that was requested as owners do. */
  readonly requestedMilliseconds: number;
  /** How long a lease may last that a target took from an order to its former process. */
  readonly longestMilliseconds: number;
  /** Monotonic time at which all leases that orders of earlier owners granted have ended. */
  readonly ofEarlierOwnersUntil: number;

  /**
   * Creates the leases of an owner that takes its pool now.
   * @param durations - the lease that owners request, and the longest one
   */
  constructor({ leaseMilliseconds, longestLeaseMilliseconds }: LeaseDurations) {
    this.requestedMilliseconds = formerLeaseMilliseconds(leaseMilliseconds);
    this.longestMilliseconds = formerLeaseMilliseconds(longestLeaseMilliseconds);
    this.ofEarlierOwnersUntil = performance.now() + this.longestMilliseconds;
  }

  /** The longest lease that an order of an earlier owner granted. */
  longestOfEarlierOwners(): FormerLease {
    return { until: this.ofEarlierOwnersUntil, basis: "earlier-owner-longest" };
  }

  /**
   * The lease from an earlier owner that long-running tasks may hold on a target that does not answer. They have to run again
   * within seconds, so that the longest lease counts only for a process that has started lately.
   * @param mayHoldLongest - whether the target's process has started so lately that it may hold the longest lease
   */
  ofLongRunningTasks(mayHoldLongest: boolean): FormerLease {
    const milliseconds = mayHoldLongest ? this.longestMilliseconds : this.requestedMilliseconds;
    return {
      until: performance.now() + milliseconds,
      basis: mayHoldLongest ? "earlier-owner-longest" : "earlier-owner-requested",
    };
  }

  /**
   * The lease that a target may have taken from starts which were sent to its former process, if it is the later one.
   * @param formerLease - the lease from an earlier owner
   */
  ofUnsettledStarts(formerLease: FormerLease): FormerLease {
    const until = performance.now() + this.longestMilliseconds;
    return until > formerLease.until ? { until, basis: "unsettled-starts" } : formerLease;
  }
}
