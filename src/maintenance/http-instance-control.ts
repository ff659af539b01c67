/**
 * Reboots instances through the platform's HTTP interface: `PUT` and `GET /instances/ID/reboots/REBOOT-ID`.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { request } from "undici";
import * as z from "zod";
import { parseWith } from "../shared/index.js";
import type { InstanceControl } from "./instance-control.js";

const progressSchema = z.object({ progress: z.enum(["rebooting", "returned", "failed"]) });
const callTimeoutMilliseconds = 2_000;
const firstErrorStatus = 300;

/**
 * Creates an instance control that calls the platform over HTTP.
 * @param address - base URL of the platform, such as `http://127.0.0.1:9000`
 * @returns the control; its calls time out after 2 seconds
 */
export function createHttpInstanceControl(address: string): InstanceControl {
  const call = async (
    method: "GET" | "PUT",
    instanceId: string,
    rebootId: string,
  ): Promise<Either<string, unknown>> => {
    const path = `/instances/${encodeURIComponent(instanceId)}/reboots/${encodeURIComponent(rebootId)}`;
    try {
      const signal = AbortSignal.timeout(callTimeoutMilliseconds);
      const response = await request(`${address}${path}`, { method, signal });
      const text = await response.body.text();
      if (response.statusCode >= firstErrorStatus)
        return Left(`the platform responded with status ${response.statusCode}`);
      return Right(JSON.parse(text) as unknown);
    } catch (error) {
      return Left(`the call to the platform failed: ${(error as Error).message}`);
    }
  };

  return {
    reboot: async (instanceId, rebootId) => (await call("PUT", instanceId, rebootId)).map(() => undefined),
    progress: async (instanceId, rebootId) =>
      (await call("GET", instanceId, rebootId)).chain((body) =>
        parseWith(progressSchema, body)
          .map(({ progress }) => progress)
          .mapLeft(() => "the platform's response does not match the expected format"),
      ),
  };
}
