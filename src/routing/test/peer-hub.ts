/**
 * In-process peer network for tests. Links can be cut, entries killed and replies lost.
 * @packageDocumentation
 */
import { Left, type Either } from "purify-ts";
import type { PeerCall, PeerFailure, PeerNetwork, PeerState } from "../../membership/index.js";
import { delay, parseWith } from "../../shared/index.js";

/** The part of the peer network that the allocator uses. */
export type HubPeers = Pick<PeerNetwork, "answer" | "call" | "peers">;

/** In-process peer network of all entries of a test. */
export interface PeerHub {
  /** Creates the network of one entry. */
  join(entryId: string): HubPeers;
  /** Cuts or restores the link between two entries in both directions. */
  cut(first: string, second: string, isCut: boolean): void;
  /** Ends an entry; the others see its state as `gone`. */
  kill(entryId: string): void;
  /** Drops the replies of the next calls; the calls are still handled. */
  loseReplies(count: number): void;
  /** Number of calls that were delivered. */
  calls(): number;
}

const suspectMilliseconds = 1_000;
const giveUpMilliseconds = 3_000;
const networkMilliseconds = 1;

type Answer = (body: unknown, peerId: string) => Promise<unknown>;

/**
 * Creates a network.
 * @returns the network, without entries
 */
export function createPeerHub(): PeerHub {
  const answers = new Map<string, Map<string, Answer>>();
  const cuts = new Map<string, number>();
  const killed = new Set<string>();
  let lost = 0;
  let calls = 0;

  const stateOf = (self: string, peerId: string): PeerState => {
    if (killed.has(peerId)) return "gone";
    const cutAt = cuts.get(linkOf(self, peerId));
    if (cutAt === undefined) return "up";
    const silence = Date.now() - cutAt;
    if (silence < suspectMilliseconds) return "up";
    return silence < giveUpMilliseconds ? "suspect" : "unreachable";
  };

  const call = async <Request, Reply>(
    self: string,
    peerId: string,
    definition: PeerCall<Request, Reply>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerFailure, Reply>> => {
    await delay(networkMilliseconds);
    const isDead = killed.has(peerId) || killed.has(self);
    if (isDead || cuts.has(linkOf(self, peerId))) {
      await delay(timeoutMilliseconds);
      return Left({ kind: "timeout", message: peerId });
    }
    const answer = answers.get(peerId)?.get(definition.name);
    if (answer === undefined) return Left({ kind: "refused", message: definition.name });
    calls += 1;
    const body = await answer(structuredClone(request), self);
    await delay(networkMilliseconds);
    if (lost > 0) {
      lost -= 1;
      return Left({ kind: "timeout", message: peerId });
    }
    return parseWith(definition.reply, body).mapLeft(() => ({ kind: "bad-reply", message: peerId }));
  };

  return {
    join: (self) => {
      const own = new Map<string, Answer>();
      answers.set(self, own);
      return {
        answer: (definition, answer) => {
          own.set(definition.name, async (body, peerId) => {
            const request = parseWith(definition.request, body);
            return answer(request.unsafeCoerce(), peerId);
          });
        },
        call: async (peerId, definition, request, timeout) =>
          call(self, peerId, definition, request, timeout),
        peers: () =>
          [...answers.keys()]
            .filter((peerId) => peerId !== self)
            .map((peerId) => ({ peerId, state: stateOf(self, peerId), lastReceivedAt: Date.now() })),
      };
    },
    cut: (first, second, isCut) => {
      if (isCut) cuts.set(linkOf(first, second), Date.now());
      else cuts.delete(linkOf(first, second));
    },
    kill: (entryId) => {
      killed.add(entryId);
    },
    loseReplies: (count) => {
      lost = count;
    },
    calls: () => calls,
  };
}

function linkOf(first: string, second: string): string {
  return [first, second].sort().join(" ");
}
