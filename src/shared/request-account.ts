/**
 * The memory of a service that one request holds, from its admission until its answer is written.
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ConnectionLedger } from "./connection-ledger.js";

/** What a request holds of its service's memory. All of it is released when the request's answer is written. */
export interface RequestAccount {
  /** Notes that the body is being waited for. */
  beginBody(): void;
  /** Notes that the body is no longer waited for. */
  endBody(): void;
  /** Asks for memory in bytes; false if there is none, or if the connection was closed to make room. */
  hold(bytes: number): boolean;
}

/**
 * Opens the account of an admitted request and closes it when the answer is written.
 * @param ledger - what the connections of the service use
 * @param socket - the request's connection
 * @param response - the response to the request
 * @returns the account
 */
export function createRequestAccount(
  ledger: ConnectionLedger<Socket>,
  socket: Socket,
  response: ServerResponse,
): RequestAccount {
  let heldBytes = 0;
  let isBodyExpected = false;
  let isOpen = true;
  const endBody = (): void => {
    if (!isBodyExpected) return;
    isBodyExpected = false;
    ledger.endBody(socket);
  };
  // An answer that its client does not read is written but never flushed; it no longer counts as a request in progress.
  response.once("prefinish", () => {
    isOpen = false;
    endBody();
    ledger.release(socket, heldBytes);
    ledger.endRequest(socket);
  });
  return {
    beginBody: () => {
      if (!isOpen || isBodyExpected) return;
      isBodyExpected = true;
      ledger.beginBody(socket);
    },
    endBody,
    hold: (bytes) => {
      if (!isOpen || !ledger.hold(socket, bytes)) return false;
      heldBytes += bytes;
      return true;
    },
  };
}

/** The account of a request that its service does not limit. */
export const unlimitedAccount: RequestAccount = {
  beginBody: () => undefined,
  endBody: () => undefined,
  hold: () => true,
};
