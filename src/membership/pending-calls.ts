/**
 * Calls to a peer that have not been replied to yet.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { Frame } from "./messages.js";
import type { PeerFailure } from "./peer-link.js";

/** Calls on one connection that have not been replied to yet. */
export interface PendingCalls {
  /** Adds a call; its result resolves on a reply, a failure, the loss of the connection, or the timeout. */
  open(timeoutMilliseconds: number): { id: number; result: Promise<Either<PeerFailure, unknown>> };
  /** Ends the call that a `reply` or `failure` frame belongs to; ignores other frames. */
  readonly settle: (frame: Frame) => void;
  /** Ends all calls with `cut`, after the connection was lost. */
  failAll(): void;
}

/**
 * Creates an empty set of calls.
 * @param peerId - the peer's name in failure messages
 * @returns the set
 */
export function createPendingCalls(peerId: string): PendingCalls {
  const calls = new Map<number, (result: Either<PeerFailure, unknown>) => void>();
  let nextCall = 1;
  return {
    open: (timeoutMilliseconds) => {
      const id = nextCall;
      nextCall += 1;
      const result = new Promise<Either<PeerFailure, unknown>>((resolve) => {
        const timer = setTimeout(() => {
          // After the event loop was blocked, timers run before sockets are read. Waiting for the next check phase
          // lets a reply that has already arrived win over the timeout.
          setImmediate(() => {
            calls.get(id)?.(Left({ kind: "timeout", message: `${peerId} did not reply in time` }));
          });
        }, timeoutMilliseconds);
        calls.set(id, (outcome) => {
          clearTimeout(timer);
          calls.delete(id);
          resolve(outcome);
        });
      });
      return { id, result };
    },
    settle: (frame) => {
      if (frame.kind === "reply") calls.get(frame.id)?.(Right(frame.body));
      if (frame.kind === "failure") calls.get(frame.id)?.(Left({ kind: "refused", message: frame.reason }));
    },
    failAll: () => {
      for (const endCall of [...calls.values()]) {
        endCall(Left({ kind: "cut", message: `the connection to ${peerId} was cut` }));
      }
    },
  };
}
