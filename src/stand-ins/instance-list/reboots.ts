/**
 * Reboot requests that the platform's stand-in carries out on target stand-ins, once for each reboot identifier.
 * @packageDocumentation
 */
import { request } from "undici";
import { sendJson, type HttpService } from "../../shared/index.js";

type Progress = "rebooting" | "returned" | "failed";

const ok = 200;
const accepted = 202;
const notFound = 404;

/**
 * Adds `PUT` and `GET /instances/ID/reboots/REBOOT-ID`.
 * @param service - the platform's HTTP service
 * @param addressOf - finds an instance's `IP:port`
 */
export function addRebootRoutes(
  service: HttpService,
  addressOf: (instanceId: string) => string | undefined,
): void {
  const reboots = new Map<string, Progress>();

  const carryOut = async (rebootId: string, address: string): Promise<void> => {
    reboots.set(rebootId, "rebooting");
    try {
      const response = await request(`http://${address}/reboot`, { method: "POST" });
      await response.body.dump();
      reboots.set(rebootId, response.statusCode === ok ? "returned" : "failed");
    } catch {
      reboots.set(rebootId, "failed");
    }
  };

  service.routes.put("/instances/:instanceId/reboots/:rebootId", (incoming, response) => {
    const { instanceId = "", rebootId = "" } = incoming.params;
    const address = addressOf(decodeURIComponent(instanceId));
    if (address === undefined) {
      sendJson(response, notFound, { error: "there is no such instance" });
      return;
    }
    if (!reboots.has(rebootId)) void carryOut(rebootId, address);
    sendJson(response, accepted, { progress: reboots.get(rebootId) });
  });
  service.routes.get("/instances/:instanceId/reboots/:rebootId", (incoming, response) => {
    const progress = reboots.get(incoming.params.rebootId ?? "");
    if (progress === undefined) sendJson(response, notFound, { error: "there is no such reboot" });
    else sendJson(response, ok, { progress });
  });
}
