/**
 * What entries say to each other about the placement.
 * @packageDocumentation
 */
import { z } from "zod";
import { definePeerCall } from "../membership/index.js";

/** Asks a peer whether it can still send to a leaving instance. */
export const confirmLeaving = definePeerCall(
  "pools.confirm-leaving",
  z.object({ zone: z.string(), instanceId: z.string(), revision: z.int() }),
  z.object({
    /** The peer's view has at least the asked revision: it sends nothing new to the instance. */
    seen: z.boolean(),
    /** Requests that the peer still has in progress on the instance. */
    inProgress: z.int(),
  }),
);
