/**
 * Faults of the target stand-in that tests switch on.
 * @packageDocumentation
 */
import * as z from "zod";

/** Checks a change of the faults. */
export const targetFaultsSchema = z.object({
  /** Every run ends at once with status 500. */
  failAll: z.boolean().optional(),
  /** Every request is refused before it starts. */
  refuseAll: z.boolean().optional(),
  /** Delay of every response after the run. */
  lateMilliseconds: z.number().int().min(0).optional(),
  /** How many of the next responses end in the middle, because the connection is closed. */
  cutAnswers: z.number().int().min(0).optional(),
  /** How many of the next responses carry the identifier of another request. */
  crossAnswers: z.number().int().min(0).optional(),
  /** How many of the next runs lose their connection without a response. */
  dropAnswers: z.number().int().min(0).optional(),
  /** Number of bytes added to every response. */
  paddingBytes: z.number().int().min(0).optional(),
});

/** The faults in force. */
export interface TargetFaults {
  failAll: boolean;
  refuseAll: boolean;
  lateMilliseconds: number;
  cutAnswers: number;
  crossAnswers: number;
  dropAnswers: number;
  paddingBytes: number;
}

/**
 * Creates faults that are all off.
 * @returns the faults, changed in place by tests
 */
export function createTargetFaults(): TargetFaults {
  return {
    failAll: false,
    refuseAll: false,
    lateMilliseconds: 0,
    cutAnswers: 0,
    crossAnswers: 0,
    dropAnswers: 0,
    paddingBytes: 0,
  };
}
