/**
 * This entry's view of the pool owners, and the division of slots among entries that cannot reach each other.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import { rendezvousOwner } from "../shared/index.js";

/** This entry's view of pool owners, peers and slot shares. */
export interface OwnerView {
  /**
   * Selects the owner of a pool by rendezvous hashing over this entry and the reachable peers.
   * @param pool - name of the pool
   * @returns identifier of the entry; other entries may have a different view
   */
  ownerOf(pool: string): string;
  /** Peers in the state `up`. */
  reachable(): readonly string[];
  /** Peers that are not `up` but may be running and using slots. */
  uncertain(): readonly string[];
  /** All other entries in the member list, and those that left it but may be running. */
  members(): readonly string[];
  /** Whether the peer has ended or is unknown. */
  isGone(entryId: string): boolean;
  /**
   * Counts the slots of a target that an entry may use when it can reach no owner.
   * @param entryId - the entry
   * @param instanceId - the target
   * @param slots - number of slots of the target
   * @returns the entry's share, from 0 to `slots`, which changes only with the member list
   */
  share(entryId: string, instanceId: string, slots: number): number;
  /** Whether enough time has passed since the last change for the other entries to have detected it too. */
  isSettled(): boolean;
  /** Records a call by a peer, because a peer that left the member list may still be running. */
  noteContact(entryId: string): void;
  /** Updates the view from the current states of the peers. */
  refresh(): void;
}

/**
 * Time after a change within which other entries may not have detected it: 1.5 times the silence after which a peer is
 * suspected.
 */
export const settleMilliseconds = 1_500;
/** Time after its last message for which an entry that left the member list, but is not known to have ended, counts as running. */
export const departedHoldMilliseconds = 30_000;
/** Time after the start before an entry without peers counts its view as settled, because the peers may not be listed yet. */
const noPeersSettleMilliseconds = 1_000;

/**
 * Creates a view and reads the current states of the peers.
 * @param self - identifier of this entry
 * @param peers - supplies the states of the other entries
 * @returns the view, which changes only by {@link OwnerView.refresh} and {@link OwnerView.noteContact}
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
      // A peer that was up until now has left deliberately, unless another message arrives from it.
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
