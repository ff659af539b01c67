/**
 * Client of the platform's instance list, in the format of Prometheus HTTP service discovery.
 * @packageDocumentation
 */
import { Left, type Either } from "purify-ts";
import { request } from "undici";
import * as z from "zod";
import { parseWith } from "../shared/index.js";

/** `live` while the platform runs the instance, `leaving` once it is about to remove it. */
export type InstanceState = "live" | "leaving";

/** One instance in the platform's list. */
export interface ListedInstance {
  readonly instanceId: string;
  /** `IP:port` of the instance's HTTP endpoint. */
  readonly address: string;
  readonly zone: string;
  readonly rack: string;
  readonly state: InstanceState;
  /** The pool that the platform delivered the instance for; undefined when it named none. */
  readonly pool: string | undefined;
}

/** Client of the platform's instance list. */
export interface InstanceList {
  /**
   * Reads the list, which may be out of date.
   * @returns the instances, or the reason why the list could not be read
   */
  read(): Promise<Either<string, ListedInstance[]>>;
}

const listSchema = z.array(
  z.object({
    targets: z.array(z.string()).length(1),
    labels: z.object({
      instance: z.string(),
      zone: z.string(),
      rack: z.string(),
      state: z.enum(["live", "leaving"]),
      pool: z.string().optional(),
    }),
  }),
);

const readTimeoutMilliseconds = 2_000;

/**
 * Creates a client of the platform's instance list.
 * @param address - base address such as `http://127.0.0.1:9000`
 * @returns the client; each read times out after 2 seconds
 */
export function createInstanceList(address: string): InstanceList {
  return {
    read: async () => {
      try {
        const signal = AbortSignal.timeout(readTimeoutMilliseconds);
        const response = await request(`${address}/instances`, { signal });
        return decodeList(await response.body.json());
      } catch (error) {
        return Left(`the instance list could not be read: ${(error as Error).message}`);
      }
    },
  };
}

function decodeList(value: unknown): Either<string, ListedInstance[]> {
  return parseWith(listSchema, value)
    .mapLeft((faults) => faults.map(({ path, message }) => `${path}: ${message}`).join("; "))
    .map((groups) =>
      groups.map(({ targets, labels }) => ({
        instanceId: labels.instance,
        address: targets[0] ?? "",
        zone: labels.zone,
        rack: labels.rack,
        state: labels.state,
        pool: labels.pool,
      })),
    );
}
