/**
 * What entries say to each other about the placement.
 * @packageDocumentation
 */
import * as z from "zod";
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
    /** All entries that the peer knows, so that none is missed that only some have heard. */
    knownEntries: z.array(z.string()),
  }),
);

/** Asks a peer for how long it has not heard an entry. */
export const silenceCall = definePeerCall(
  "pools.silence",
  z.object({ entryId: z.string() }),
  z.object({ milliseconds: z.number() }),
);

/** Proves to the asking entry that messages pass in both directions. */
export const probeView = definePeerCall("pools.probe-view", z.object({}), z.object({}));

/** Asks a peer for its copies of the placement records. */
export const fetchPlacement = definePeerCall(
  "pools.fetch-placement",
  z.object({}),
  z.object({
    records: z.array(z.object({ key: z.string(), value: z.unknown(), revision: z.number() })),
  }),
);
