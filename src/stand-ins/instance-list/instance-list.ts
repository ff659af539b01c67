/**
 * Stand-in for the platform's lagging list of instances, in the format of Prometheus HTTP service discovery.
 * @packageDocumentation
 */
import * as z from "zod";
import type { ListedInstance } from "../../store/index.js";
import { createHttpService, parseWith, readBody, sendJson } from "../../shared/index.js";
import { addRebootRoutes } from "./reboots.js";

/** A running instance list. */
export interface InstanceListStandIn {
  readonly address: string;
  /** Replaces the instances; the list returns the new ones after its lag. */
  set(instances: readonly ListedInstance[]): void;
  close(): Promise<void>;
}

const instancesSchema = z.array(
  z.object({
    instanceId: z.string(),
    address: z.string(),
    zone: z.string(),
    rack: z.string(),
    state: z.enum(["live", "leaving"]),
    pool: z.string().optional(),
  }),
);

const maximumBodyBytes = 8_388_608;
const bodyTimeoutMilliseconds = 10_000;

/**
 * Starts an instance list.
 * @param lagMilliseconds - delay until a change is visible in the list
 * @param host - an IP address of this machine
 * @param port - the port, 0 for any free one
 * @returns the running list, empty
 */
export async function startInstanceListStandIn(
  lagMilliseconds: number,
  host = "127.0.0.1",
  port = 0,
): Promise<InstanceListStandIn> {
  let known: readonly ListedInstance[] = [];
  let shown: readonly ListedInstance[] = [];
  const set = (instances: readonly ListedInstance[]): void => {
    known = instances;
    setTimeout(() => {
      shown = instances;
    }, lagMilliseconds).unref();
  };
  const service = createHttpService();
  service.routes.get("/instances", (_request, response) => {
    sendJson(response, 200, shown.map(encodeInstance));
  });
  service.routes.post("/instances", async (request, response) => {
    const body = await readBody(request, maximumBodyBytes, bodyTimeoutMilliseconds);
    const text = body.orDefault(Buffer.from("null")).toString("utf8");
    parseWith(instancesSchema, JSON.parse(text)).caseOf({
      Left: (problems) => {
        sendJson(response, 400, problems);
      },
      Right: (instances) => {
        set(instances.map((instance) => ({ ...instance, pool: instance.pool })));
        sendJson(response, 200, { count: instances.length });
      },
    });
  });
  addRebootRoutes(service, (instanceId) => known.find((each) => each.instanceId === instanceId)?.address);
  const usedPort = await service.listen(host, port);
  return {
    address: `http://${host}:${usedPort}`,
    set,
    close: async () => {
      const closed = service.close();
      service.abort();
      await closed;
    },
  };
}

function encodeInstance(instance: ListedInstance): unknown {
  const { instanceId, address, zone, rack, state, pool } = instance;
  const labels = { instance: instanceId, zone, rack, state, ...(pool === undefined ? {} : { pool }) };
  return { targets: [address], labels };
}
