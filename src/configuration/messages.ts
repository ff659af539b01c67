/**
 * What entries say to each other about the configuration.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../membership/index.js";

/** Asks a peer for the configuration it has in force. */
export const fetchConfiguration = definePeerCall(
  "configuration.fetch",
  z.object({}),
  z.object({ configuration: z.unknown() }),
);

/** Tells a peer of a revision that came into force; the reply tells the peer's own once it has fetched it. */
export const announceRevision = definePeerCall(
  "configuration.announce",
  z.object({ revision: z.int() }),
  z.object({ revision: z.int() }),
);
