/**
 * Limits for the connections of callers, from the memory and the descriptors of the machine.
 * @packageDocumentation
 */
import type { ConnectionLimits } from "./connection-ledger.js";

/** What the machine allows the process. */
export interface MachineLimits {
  readonly memoryMegabytes: number;
  readonly maximumDescriptors: number;
}

const bytesPerMegabyte = 1_048_576;
/** Part of the memory that callers' requests may hold; the rest is for jobs, buffers of the runtime and garbage. */
const heldMemoryShare = 0.1;
/** Descriptors that the machine reserves for files. */
const reservedDescriptors = 200;
/** Part of the sockets for callers; the rest is for targets, the store and other entries. */
const connectionShare = 0.75;
const fewestConnections = 16;
/** Clients send a request after the answer to the one before it, or a few ahead. */
const maximumRequestsAhead = 32;

/**
 * Returns the limits for the service that callers connect to.
 * @param machine - limits of the machine
 * @returns the limits for its connections
 */
export function limitConnections({ memoryMegabytes, maximumDescriptors }: MachineLimits): ConnectionLimits {
  const sockets = maximumDescriptors - reservedDescriptors;
  return {
    maximumConnections: Math.max(fewestConnections, Math.floor(sockets * connectionShare)),
    maximumRequestsPerConnection: maximumRequestsAhead,
    maximumHeldBytes: Math.floor(memoryMegabytes * bytesPerMegabyte * heldMemoryShare),
  };
}
