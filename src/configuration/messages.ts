/**
 * What entries say to each other about the configuration.
 * @packageDocumentation
 */
import { z } from "zod";
import { definePeerCall } from "../membership/index.js";

/** Asks a peer for the configuration it has in force. */
export const fetchConfiguration = definePeerCall(
  "configuration.fetch",
  z.object({}),
  z.object({ configuration: z.unknown() }),
);

/** Tells a peer of a configuration that came into force. */
export const offerConfiguration = definePeerCall(
  "configuration.offer",
  z.object({ configuration: z.unknown() }),
  z.object({ revision: z.int() }),
);
