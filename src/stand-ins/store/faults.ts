/**
 * Faults of the key-value stand-in that tests switch on.
 * @packageDocumentation
 */
import * as z from "zod";

/** Checks a change of the faults. */
export const storeFaultsSchema = z.object({
  /** `down` answers nothing, `refusing` answers 503 without effect. */
  mode: z.enum(["up", "down", "refusing"]).optional(),
  /** Added to every answer. */
  delayMilliseconds: z.number().int().min(0).optional(),
  /** How many of the next writes take effect without a response. */
  loseAnswers: z.number().int().min(0).optional(),
  /** Whether new and waiting watches report nothing. */
  muteWatches: z.boolean().optional(),
  /** How many of the next writes get no response and are carried out later. */
  lateWrites: z.number().int().min(0).optional(),
  /** Changes up to this revision are no longer available. */
  forgottenRevision: z.number().int().min(0).optional(),
});

/** The faults in force. */
export interface StoreFaults {
  mode: "up" | "down" | "refusing";
  delayMilliseconds: number;
  loseAnswers: number;
  muteWatches: boolean;
  lateWrites: number;
  forgottenRevision: number;
}

/**
 * Creates faults that are all off.
 * @returns the faults, changed in place by tests
 */
export function createStoreFaults(): StoreFaults {
  return {
    mode: "up",
    delayMilliseconds: 0,
    loseAnswers: 0,
    muteWatches: false,
    lateWrites: 0,
    forgottenRevision: 0,
  };
}
