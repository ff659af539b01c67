/**
 * Calls between entries about the placement.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../membership/index.js";

/** Queries whether a peer can still send requests to a leaving instance. */
export const confirmLeaving = definePeerCall(
  "pools.confirm-leaving",
  z.object({ zone: z.string(), instanceId: z.string(), revision: z.int() }),
  z.object({
    /** The peer's view has at least the given revision, so it sends no new requests to the instance. */
    seen: z.boolean(),
    /** Number of requests that the peer still has in progress on the instance. */
    inProgress: z.int(),
    /** All entries that the peer knows, because the caller may not know every entry. */
    knownEntries: z.array(z.string()),
  }),
);

/** Queries how many milliseconds ago a peer last received a message from an entry. */
export const silenceCall = definePeerCall(
  "pools.silence",
  z.object({ entryId: z.string() }),
  z.object({ milliseconds: z.number() }),
);

/** Proves to the caller that messages pass in both directions. */
export const probeView = definePeerCall("pools.probe-view", z.object({}), z.object({}));

/** Fetches a peer's copies of the placement records. */
export const fetchPlacement = definePeerCall(
  "pools.fetch-placement",
  z.object({}),
  z.object({
    records: z.array(z.object({ key: z.string(), value: z.unknown(), revision: z.number() })),
  }),
);
