/**
 * Interface to the platform that reboots instances.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";

/** Progress of a reboot: still running, back in operation, or failed. */
export type RebootProgress = "rebooting" | "returned" | "failed";

/** Reboots instances through the platform. */
export interface InstanceControl {
  /**
   * Requests a reboot. The platform carries out each reboot identifier at most once.
   * @param instanceId - the instance, which must be stopped
   * @param rebootId - identifier of this reboot
   * @returns undefined when the platform accepted the request, otherwise a message that says why not
   */
  reboot(instanceId: string, rebootId: string): Promise<Either<string, undefined>>;
  /**
   * Reads the progress of a reboot.
   * @param instanceId - the instance
   * @param rebootId - identifier of the reboot
   * @returns the progress, or a message that says why it is not known
   */
  progress(instanceId: string, rebootId: string): Promise<Either<string, RebootProgress>>;
}
