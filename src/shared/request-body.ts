/**
 * Reads the body of a request within limits, and checks what its sender still does.
 * @packageDocumentation
 */
import type { IncomingMessage } from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";
import { Left, Right, type Either } from "purify-ts";
import { BodyBuffer } from "./body-buffer.js";
import { unlimitedAccount, type RequestAccount } from "./request-account.js";

/**
 * Checks whether the sender of a request has closed its connection. A process that was paused reads a request and the end of
 * its connection together, the end in a later turn of the event loop; this waits for that turn.
 * @param request - a request that has been read
 * @returns true when no answer can reach the sender any more, or the sender has said that it sends nothing further
 */
export async function hasSenderLeft({ socket }: IncomingMessage): Promise<boolean> {
  // The first callback runs after the reads of this turn, the second one after those of the next.
  await nextTurn();
  await nextTurn();
  return socket.destroyed || socket.readableEnded;
}

/**
 * Ends the connection of an answered request unless the rest of its body, which is discarded, arrives in time.
 * @param request - a request whose answer does not depend on its body
 * @param timeoutMilliseconds - time for the rest of the body
 */
export function limitDiscardedBody(request: IncomingMessage, timeoutMilliseconds: number): void {
  if (request.complete) return;
  const timer = setTimeout(() => {
    // Behind a request that is not answered yet, "close" comes later than the end of the body.
    if (!request.complete) request.socket.destroy();
  }, timeoutMilliseconds);
  request.once("close", () => {
    clearTimeout(timer);
  });
}

/**
 * Why a request body was not read: it exceeded the size, took too long, the connection closed before its end, or there was
 * no memory for it.
 */
export type BodyFault = "too-large" | "too-slow" | "cut" | "no-memory";

/**
 * Reads a request's whole body, limited in size, time and memory. After a fault the rest of the body is not kept; the
 * connection must be closed with the answer, as its client may never end the body.
 * @param request - a request whose body has not been read
 * @param maximumBytes - larger bodies give `too-large`
 * @param timeoutMilliseconds - bodies that take longer give `too-slow`
 * @param account - the account that the body's memory is taken from; unlimited by default
 * @returns the body, or the reason why it was not read
 */
export async function readBody(
  request: IncomingMessage,
  maximumBytes: number,
  timeoutMilliseconds: number,
  account: RequestAccount = unlimitedAccount,
): Promise<Either<BodyFault, Buffer>> {
  return new Promise((resolve) => {
    const body = new BodyBuffer(maximumBytes, (bytes) => account.hold(bytes));
    const finish = (result: Either<BodyFault, Buffer>): void => {
      clearTimeout(timer);
      request.removeAllListeners("data");
      account.endBody();
      body.clear();
      resolve(result);
    };
    const timer = setTimeout(() => {
      finish(Left("too-slow"));
    }, timeoutMilliseconds);
    account.beginBody();
    request.on("data", (chunk: Buffer) => {
      const excess = body.append(chunk);
      if (excess !== undefined) finish(Left(excess));
    });
    request.once("end", () => {
      finish(Right(body.bytes()));
    });
    request.once("close", () => {
      finish(Left("cut"));
    });
  });
}
