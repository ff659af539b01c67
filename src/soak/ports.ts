/**
 * Ports for the entries of a soak. An entry keeps its ports when its process restarts, so that they must be free meanwhile.
 * @packageDocumentation
 */
import net from "node:net";

const host = "127.0.0.1";
/** Below the ephemeral port range; otherwise an outgoing connection could take the port of a process that restarts. */
const lowestPort = 10_000;
const portsPerSoak = 200;
const soaksOnOneMachine = 95;

let firstPort: Promise<number> | undefined;
let usedPorts = 0;

/**
 * Finds ports that are free at the moment, in a range that no other soak on the machine uses while this process runs.
 * @param count - the number of ports
 * @returns the ports, none of which was returned before
 * @throws Error if other soaks use all ranges
 */
export async function findFreePorts(count: number): Promise<number[]> {
  firstPort ??= reserveRange();
  const first = await firstPort;
  const ports: number[] = [];
  while (ports.length < count) {
    usedPorts += 1;
    const port = first + usedPorts;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/** Reserves a range by listening on its first port until this process exits. */
async function reserveRange(): Promise<number> {
  for (let tried = 0; tried < soaksOnOneMachine; tried += 1) {
    const range = (process.pid + tried) % soaksOnOneMachine;
    const port = lowestPort + range * portsPerSoak;
    const server = await listen(port);
    if (server === undefined) continue;
    server.unref();
    return port;
  }
  throw new Error("other soaks use all port ranges");
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (server === undefined) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/** Listens on a port; undefined if it is in use. */
async function listen(port: number): Promise<net.Server | undefined> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once("error", () => {
      resolve(undefined);
    });
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}
