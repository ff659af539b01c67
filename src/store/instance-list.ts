/**
 * The platform's lagging list of instances, read in the format of Prometheus HTTP service discovery.
 * @packageDocumentation
 */
import { Left, type Either } from "purify-ts";
import { request } from "undici";
import * as z from "zod";
import { parseWith } from "../shared/index.js";

/** Whether the platform runs an instance or is about to take it away. */
export type InstanceState = "live" | "leaving";

/** One instance of the platform. */
export interface ListedInstance {
  readonly instanceId: string;
  /** `IP:port` where the instance answers. */
  readonly address: string;
  readonly zone: string;
  readonly rack: string;
  readonly state: InstanceState;
  /** The pool the platform delivered the instance for, if any. */
  readonly pool: string | undefined;
}

/** Reads the platform's list of instances. */
export interface InstanceList {
  /**
   * Reads the list, which may lag behind what is true.
   * @returns the instances, or why there is no list
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
 * Creates a reader of the platform's list.
 * @param address - base address such as `http://127.0.0.1:9000`
 * @returns the reader
 */
export function createInstanceList(address: string): InstanceList {
  return {
    read: async () => {
      try {
        const signal = AbortSignal.timeout(readTimeoutMilliseconds);
        const response = await request(`${address}/instances`, { signal });
        return decodeList(await response.body.json());
      } catch (error) {
        return Left(`the instance list does not answer: ${(error as Error).message}`);
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
