/**
 * A peer network without connections: the test calls the registered handlers and answers the entry's own calls.
 * @packageDocumentation
 */
import Emittery from "emittery";
import { Right, type Either } from "purify-ts";
import type { PeerFailure, PeerNetwork, PeerNetworkEvents } from "../../membership/index.js";

/** Answers a call of this entry to a peer. */
export type CallAnswer = (
  peerId: string,
  name: string,
  request: unknown,
) => Promise<Either<PeerFailure, unknown>>;

/** A network whose calls the test answers. */
export interface FakePeers {
  readonly peers: PeerNetwork;
  /** Calls this entry as a peer would. */
  readonly receive: (peerId: string, name: string, request: unknown) => unknown;
}

/**
 * Creates a network without connections.
 * @param answerCall - answers the calls of this entry; an empty reply by default
 * @returns the network, and a function that calls this entry
 */
export function createFakePeers(answerCall: CallAnswer = async () => Promise.resolve(Right({}))): FakePeers {
  const answers = new Map<string, (request: unknown, peerId: string) => unknown>();
  const peers: PeerNetwork = {
    events: new Emittery<PeerNetworkEvents>(),
    answer: (definition, answer) => {
      answers.set(definition.name, answer as (request: unknown, peerId: string) => unknown);
    },
    call: async <Reply>(peerId: string, { name }: { readonly name: string }, request: unknown) =>
      answerCall(peerId, name, request) as Promise<Either<PeerFailure, Reply>>,
    report: () => undefined,
    reported: () => 0,
    upPeers: () => [],
    peers: () => [],
    listen: async () => Promise.resolve(0),
    bytesSent: () => 0,
    bytesReceived: () => 0,
    fetchRoster: async () => Promise.resolve([]),
    follow: () => undefined,
    close: async () => Promise.resolve(),
  };
  return { peers, receive: (peerId, name, request) => answers.get(name)?.(request, peerId) };
}
