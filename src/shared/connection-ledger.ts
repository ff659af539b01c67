/**
 * Accounts for the connections of a service: their number, their requests and the memory that these hold. Chooses which
 * connection is closed when a limit is reached, so that clients which hold much or wait long make room for the others.
 * @packageDocumentation
 */

/** Limits of a service. */
export interface ConnectionLimits {
  /** Beyond this number, each new connection replaces another one. */
  readonly maximumConnections: number;
  /** Requests of one connection that wait for their answer, including those that its client sent ahead. */
  readonly maximumRequestsPerConnection: number;
  /** Memory in bytes that the requests of all connections may hold together. */
  readonly maximumHeldBytes: number;
}

/** Why a connection was closed: the limit that was reached. */
export type CloseReason = "connections" | "requests-ahead" | "memory";

/** The result of a new request: it may be handled, its connection has sent too many, or there is no memory for it. */
export type RequestVerdict = "admitted" | "too-many" | "no-memory";

/** Memory that a request holds besides its body: the objects of Node.js for the request and its response. */
export const requestBytes = 8_192;

interface ConnectionUse {
  /** Requests that are not answered yet. */
  openRequests: number;
  /** Open requests whose body has not arrived completely. */
  bodiesExpected: number;
  heldBytes: number;
}

/**
 * Accounts for the use of connections, which may be objects of any kind.
 *
 * A new connection beyond the limit replaces the one that has waited longest for its client, or else the one that has waited
 * longest for the rest of a body; while all others wait for an answer of ours, the new one is closed. For memory, the
 * connection that holds most is closed, unless the one that asks would hold as much: of those whose body is incomplete, or else of
 * those that have sent requests ahead. A client that waits for one answer keeps its connection.
 */
export class ConnectionLedger<Connection> {
  readonly #limits: ConnectionLimits;
  readonly #close: (connection: Connection, reason: CloseReason) => void;
  /** In the order in which the connections began to wait for a request, or for their present requests' end. */
  readonly #uses = new Map<Connection, ConnectionUse>();
  #heldBytes = 0;
  #openRequests = 0;

  /**
   * Creates a ledger without connections.
   * @param limits - the limits of the service
   * @param close - closes a connection; the ledger has already removed it
   */
  constructor(limits: ConnectionLimits, close: (connection: Connection, reason: CloseReason) => void) {
    this.#limits = limits;
    this.#close = close;
  }

  /** Adds a new connection, and closes one if there are too many. */
  open(connection: Connection): void {
    if (this.#uses.size >= this.#limits.maximumConnections) {
      const replaced = this.#findLongestWaiting();
      if (replaced === undefined) {
        this.#close(connection, "connections");
        return;
      }
      this.#closeOne(replaced, "connections");
    }
    this.#uses.set(connection, { openRequests: 0, bodiesExpected: 0, heldBytes: 0 });
  }

  /** Removes a connection that has ended, with all that it holds. */
  remove(connection: Connection): void {
    const use = this.#uses.get(connection);
    if (use === undefined) return;
    this.#uses.delete(connection);
    this.#heldBytes -= use.heldBytes;
    this.#openRequests -= use.openRequests;
  }

  /** Begins a request. After `too-many` the ledger has closed the connection; after `no-memory` nothing is begun. */
  beginRequest(connection: Connection): RequestVerdict {
    const use = this.#uses.get(connection);
    if (use === undefined) return "too-many";
    if (use.openRequests >= this.#limits.maximumRequestsPerConnection) {
      this.#closeOne(connection, "requests-ahead");
      return "too-many";
    }
    if (!this.hold(connection, requestBytes)) return "no-memory";
    if (use.openRequests === 0) this.#moveToEnd(connection, use);
    use.openRequests += 1;
    this.#openRequests += 1;
    return "admitted";
  }

  /** Ends a request that was admitted, once its answer is written; bytes held for its body are released separately. */
  endRequest(connection: Connection): void {
    const use = this.#uses.get(connection);
    if (use === undefined) return;
    this.release(connection, requestBytes);
    use.openRequests -= 1;
    this.#openRequests -= 1;
    if (use.openRequests === 0) this.#moveToEnd(connection, use);
  }

  /** Notes that a request waits for its body, until {@link ConnectionLedger.endBody}. */
  beginBody(connection: Connection): void {
    const use = this.#uses.get(connection);
    if (use !== undefined) use.bodiesExpected += 1;
  }

  /** Notes that a request waits for its body no longer. */
  endBody(connection: Connection): void {
    const use = this.#uses.get(connection);
    if (use !== undefined) use.bodiesExpected -= 1;
  }

  /**
   * Adds bytes to what a connection holds, and closes others that hold more if the memory is used up.
   * @param connection - the connection that receives the bytes
   * @param bytes - the number of bytes
   * @returns false if there is no room for them; nothing is added then
   */
  hold(connection: Connection, bytes: number): boolean {
    const use = this.#uses.get(connection);
    if (use === undefined) return false;
    while (this.#heldBytes + bytes > this.#limits.maximumHeldBytes) {
      const largest = this.#findLargestAbove(use.heldBytes + bytes);
      if (largest === undefined) return false;
      this.#closeOne(largest, "memory");
    }
    use.heldBytes += bytes;
    this.#heldBytes += bytes;
    return true;
  }

  /** Removes bytes that a connection no longer holds. */
  release(connection: Connection, bytes: number): void {
    const use = this.#uses.get(connection);
    if (use === undefined) return;
    use.heldBytes -= bytes;
    this.#heldBytes -= bytes;
  }

  /** The number of connections. */
  connections(): number {
    return this.#uses.size;
  }

  /** The number of requests that are not answered yet. */
  openRequests(): number {
    return this.#openRequests;
  }

  /** The bytes that all connections hold. */
  heldBytes(): number {
    return this.#heldBytes;
  }

  #closeOne(connection: Connection, reason: CloseReason): void {
    this.remove(connection);
    this.#close(connection, reason);
  }

  #moveToEnd(connection: Connection, use: ConnectionUse): void {
    this.#uses.delete(connection);
    this.#uses.set(connection, use);
  }

  #findLongestWaiting(): Connection | undefined {
    let longestBody: Connection | undefined;
    for (const [connection, use] of this.#uses) {
      if (use.openRequests === 0) return connection;
      if (use.bodiesExpected > 0) longestBody ??= connection;
    }
    return longestBody;
  }

  #findLargestAbove(bytes: number): Connection | undefined {
    const incomplete = this.#findLargest(bytes, ({ bodiesExpected }) => bodiesExpected > 0);
    return incomplete ?? this.#findLargest(bytes, ({ openRequests }) => openRequests !== 1);
  }

  #findLargest(bytes: number, isEligible: (use: ConnectionUse) => boolean): Connection | undefined {
    let largest: Connection | undefined;
    let most = bytes;
    for (const [connection, use] of this.#uses) {
      if (use.heldBytes <= most || !isEligible(use)) continue;
      largest = connection;
      most = use.heldBytes;
    }
    return largest;
  }
}
