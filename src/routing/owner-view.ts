/**
 * Which entry is the owner of a pool in this entry's view, and which slots are whose when entries cannot talk.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import { rendezvousOwner } from "../shared/index.js";

/** This entry's view of owners and shares. */
export interface OwnerView {
  /**
   * Names the owner of a pool.
   * @param pool - the pool
   * @returns the entry that this entry takes for the owner
   */
  ownerOf(pool: string): string;
  /** Peers that answer. */
  reachable(): readonly string[];
  /** Peers that do not answer but may be running and using slots. */
  uncertain(): readonly string[];
  /** All other entries that may be running. */
  members(): readonly string[];
  /** Whether the peer is known to have ended. */
  isGone(entryId: string): boolean;
  /**
   * Counts the slots of a target that are an entry's when it can reach nobody.
   * @param entryId - the entry
   * @param instanceId - the target
   * @param slots - slots of the target
   * @returns the entry's fixed share
   */
  share(entryId: string, instanceId: string, slots: number): number;
  /** Whether the view has not changed for long enough that the other entries see the change too. */
  isSettled(): boolean;
  /** Notes that a peer called; one that left the member list may still be running. */
  noteContact(entryId: string): void;
  /** Reads the states of the peers anew. */
  refresh(): void;
}

/**
 * Time after a change within which other entries may not have noticed it: the silence after which a peer is
 * suspected, and half as much again.
 */
export const settleMilliseconds = 1_500;
/** Time for which an entry that left the member list without an end is taken to be running, since it was last heard. */
export const departedHoldMilliseconds = 30_000;
const noPeersSettleMilliseconds = 1_000;

/**
 * Creates a view.
 * @param self - this entry
 * @param peers - the other entries
 * @returns the view
 */
export function createOwnerView(self: string, peers: Pick<PeerNetwork, "peers">): OwnerView {
  const lastReceivedAt = new Map<string, number>();
  const slotOwnersByTarget = new Map<string, readonly (string | undefined)[]>();
  const createdAt = Date.now();
  let states = new Map<string, string>();
  let departed: string[] = [];
  let reachable: string[] = [];
  let uncertain: string[] = [];
  let stateKey = "";
  let memberListKey = "";
  let changedAt = createdAt;

  const noteDepartures = (now: number, current: ReadonlyMap<string, string>): void => {
    const dropped = [...states].filter(([peerId, state]) => !current.has(peerId) && state !== "gone");
    for (const [peerId, state] of dropped) {
      // A peer that was up has left by itself, unless it is heard again.
      if (state === "up") lastReceivedAt.delete(peerId);
    }
    departed = [...lastReceivedAt]
      .filter(([peerId, at]) => !current.has(peerId) && now - at < departedHoldMilliseconds)
      .map(([peerId]) => peerId);
  };

  const refresh = (): void => {
    const now = Date.now();
    const list = peers.peers();
    const current = new Map(list.map(({ peerId, state }) => [peerId, state as string]));
    for (const { peerId, lastReceivedAt: at, state } of list) {
      if (state === "gone") lastReceivedAt.delete(peerId);
      else lastReceivedAt.set(peerId, Math.max(at, lastReceivedAt.get(peerId) ?? 0));
    }
    noteDepartures(now, current);
    states = current;
    reachable = [...states].filter(([, state]) => state === "up").map(([peerId]) => peerId);
    const silent = [...states].filter(([, state]) => state !== "up" && state !== "gone");
    uncertain = [...silent.map(([peerId]) => peerId), ...departed];
    const nextMemberListKey = [...states.keys(), ...departed].sort().join(" ");
    if (nextMemberListKey !== memberListKey) slotOwnersByTarget.clear();
    memberListKey = nextMemberListKey;
    const nextStateKey = `${[...reachable].sort().join(" ")}|${[...uncertain].sort().join(" ")}`;
    if (nextStateKey !== stateKey) changedAt = now;
    stateKey = nextStateKey;
  };

  const slotOwnersOf = (instanceId: string, slots: number): readonly (string | undefined)[] => {
    const key = `${instanceId}/${slots}`;
    const existing = slotOwnersByTarget.get(key);
    if (existing !== undefined) return existing;
    const members = [self, ...states.keys(), ...departed].sort();
    const slotOwners = Array.from({ length: slots }, (_, slot) =>
      rendezvousOwner(`${instanceId}/${slot}`, members),
    );
    slotOwnersByTarget.set(key, slotOwners);
    return slotOwners;
  };

  refresh();
  return {
    ownerOf: (pool) => rendezvousOwner(`home/${pool}`, [self, ...reachable]) ?? self,
    reachable: () => reachable,
    uncertain: () => uncertain,
    members: () => [...states.keys(), ...departed],
    isGone: (entryId) => {
      if (entryId === self) return false;
      return states.get(entryId) === "gone" || (!states.has(entryId) && !departed.includes(entryId));
    },
    share: (entryId, instanceId, slots) =>
      slotOwnersOf(instanceId, slots).filter((owner) => owner === entryId).length,
    isSettled: () => {
      const now = Date.now();
      if (states.size === 0) return now - createdAt >= noPeersSettleMilliseconds;
      return uncertain.length === 0 || now - changedAt >= settleMilliseconds;
    },
    noteContact: (entryId) => {
      if (!states.has(entryId)) lastReceivedAt.set(entryId, Date.now());
    },
    refresh,
  };
}
