/**
 * A TCP proxy on the loopback interface that can delay data, drop it in one or both directions, and reset connections.
 * @packageDocumentation
 */
import net, { type AddressInfo, type Socket } from "node:net";
import { delay } from "../../shared/index.js";

/**
 * How data is handled: `open` forwards all, `no-requests` drops data from clients, `no-answers` drops data that they would
 * receive, `silent` drops both, `refusing` resets every connection.
 */
export type LinkState = "open" | "no-requests" | "no-answers" | "silent" | "refusing";

/** A running proxy. */
export interface TcpProxy {
  readonly port: number;
  /** Applies to open and new connections. */
  setState(state: LinkState): void;
  /** Sets the delay in milliseconds with which each chunk is forwarded. */
  setDelay(milliseconds: number): void;
  /** Stops forwarding on open connections without closing them; new connections work. */
  silenceOpenConnections(): void;
  /** Resets all open connections. */
  resetConnections(): void;
  close(): Promise<void>;
}

interface Link {
  readonly client: Socket;
  readonly server: Socket;
  isSilenced: boolean;
}

const host = "127.0.0.1";

/**
 * Starts a proxy.
 * @param upstreamPort - the loopback port that connections are forwarded to
 * @returns the running proxy, all links open
 */
export async function startTcpProxy(upstreamPort: number): Promise<TcpProxy> {
  const links = new Set<Link>();
  let state: LinkState = "open";
  let delayMilliseconds = 0;

  const passes = (link: Link, direction: "request" | "answer"): boolean => {
    if (link.isSilenced || state === "silent") return false;
    return state !== (direction === "request" ? "no-requests" : "no-answers");
  };
  const relay = (link: Link, from: Socket, to: Socket, direction: "request" | "answer"): void => {
    const forward = createForwarder(
      () => passes(link, direction),
      () => delayMilliseconds,
    );
    from.on("data", (data) => {
      forward(() => to.write(data));
    });
    from.on("end", () => {
      forward(() => to.end());
    });
    from.on("close", () => {
      if (to.destroyed) links.delete(link);
      // On a silent link, the end of one side isn't forwarded to the other.
      forward(() => to.destroy());
    });
    from.on("error", () => from.destroy());
  };
  const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (client) => {
    if (state === "refusing") {
      client.on("error", () => client.destroy());
      client.resetAndDestroy();
      return;
    }
    const upstream = net.connect({ host, port: upstreamPort, allowHalfOpen: true, noDelay: true });
    const link: Link = { client, server: upstream, isSilenced: false };
    links.add(link);
    relay(link, client, upstream, "request");
    relay(link, upstream, client, "answer");
  });
  const resetConnections = (): void => {
    for (const link of links) {
      resetConnection(link.client);
      resetConnection(link.server);
    }
  };
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  return {
    port: (server.address() as AddressInfo).port,
    setState: (next) => {
      state = next;
      if (next === "refusing") resetConnections();
    },
    setDelay: (milliseconds) => {
      delayMilliseconds = milliseconds;
    },
    silenceOpenConnections: () => {
      for (const link of links) link.isSilenced = true;
    },
    resetConnections,
    close: async () => {
      resetConnections();
      await new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
      });
    },
  };
}

/**
 * Resets a connection; if its end was already sent, it can only be closed.
 * @param socket - the connection
 */
export function resetConnection(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/** Forwards actions in order, each after the delay in force when it arrived, and drops those that the state blocks. */
function createForwarder(passes: () => boolean, readDelay: () => number): (action: () => void) => void {
  let waiting = 0;
  let queueTail = Promise.resolve();
  return (action) => {
    if (!passes()) return;
    const milliseconds = readDelay();
    if (milliseconds === 0 && waiting === 0) {
      action();
      return;
    }
    waiting += 1;
    const ready = delay(milliseconds);
    queueTail = queueTail
      .then(async () => ready)
      .then(() => {
        waiting -= 1;
        action();
      });
  };
}
