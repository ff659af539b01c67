/**
 * Calls to a peer that wait for their replies.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import type { Frame } from "./messages.js";
import type { PeerFailure } from "./peer-link.js";

/** Calls that wait for their replies. */
export interface PendingCalls {
  /** Opens a call that ends by a reply, a failure, a cut or its timeout. */
  open(timeoutMilliseconds: number): { id: number; result: Promise<Either<PeerFailure, unknown>> };
  /** Ends the call that a frame answers. */
  readonly settle: (frame: Frame) => void;
  /** Ends all calls because the connection was cut. */
  failAll(): void;
}

/**
 * Creates an empty set of calls.
 * @param peerId - the peer, for messages
 * @returns the calls
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
          // After a hold-up timers come first; a reply that is there already is read before the call is given up.
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
