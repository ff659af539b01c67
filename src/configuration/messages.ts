/**
 * Calls between entries about the configuration.
 * @packageDocumentation
 */
import * as z from "zod";
import { definePeerCall } from "../membership/index.js";

/** Fetches the configuration that a peer has in force; null when it has none. */
export const fetchConfiguration = definePeerCall(
  "configuration.fetch",
  z.object({}),
  z.object({ configuration: z.unknown() }),
);

/** Announces a revision that came into force. The peer replies with its own revision after trying to fetch this one. */
export const announceRevision = definePeerCall(
  "configuration.announce",
  z.object({ revision: z.int() }),
  z.object({ revision: z.int() }),
);
