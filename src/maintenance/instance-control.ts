/**
 * The platform's side of a reboot.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";

/** How far a reboot is. */
export type RebootProgress = "rebooting" | "returned" | "failed";

/** Asks the platform to reboot instances. */
export interface InstanceControl {
  /**
   * Asks for a reboot. The platform carries out the same identifier once.
   * @param instanceId - the instance, which has no work
   * @param rebootId - identifier of this reboot
   * @returns nothing, or why the platform did not take the call
   */
  reboot(instanceId: string, rebootId: string): Promise<Either<string, undefined>>;
  /**
   * Reads how far a reboot is.
   * @param instanceId - the instance
   * @param rebootId - identifier of the reboot
   * @returns the progress, or why it is not known
   */
  progress(instanceId: string, rebootId: string): Promise<Either<string, RebootProgress>>;
}
