/**
 * The slots in use on the targets of a pool, as its owner counts them.
 * @packageDocumentation
 */

/** A slot in use. */
export interface HeldSlot {
  readonly grantId: string;
  readonly instanceId: string;
  /** The entry that uses the slot. */
  readonly entryId: string;
  readonly team: string;
  readonly operationKey: string;
  /** When this owner granted the slot or learned of it, in milliseconds since the epoch. */
  readonly grantedAt: number;
}

/** Counts slots in use. */
export class SlotLedger {
  readonly #held = new Map<string, HeldSlot>();
  readonly #byInstance = new Map<string, number>();
  readonly #byTeam = new Map<string, number>();
  readonly #byUse = new Map<string, number>();

  /**
   * Counts all slots in use.
   * @returns how many slots are in use
   */
  size(): number {
    return this.#held.size;
  }

  /**
   * Adds a slot; one that is known already is not counted again.
   * @param slot - the slot
   */
  add(slot: HeldSlot): void {
    if (this.#held.has(slot.grantId)) return;
    this.#held.set(slot.grantId, slot);
    this.#change(slot, 1);
  }

  /**
   * Removes a slot.
   * @param grantId - its grant
   * @returns the slot, undefined when it was not held
   */
  remove(grantId: string): HeldSlot | undefined {
    const slot = this.#held.get(grantId);
    if (slot === undefined) return undefined;
    this.#held.delete(grantId);
    this.#change(slot, -1);
    return slot;
  }

  /**
   * Lists the slots of an entry.
   * @param entryId - the entry
   * @returns its slots
   */
  heldBy(entryId: string): HeldSlot[] {
    return [...this.#held.values()].filter((slot) => slot.entryId === entryId);
  }

  /**
   * Lists the entries that use slots.
   * @returns their identifiers
   */
  entries(): string[] {
    return [...new Set([...this.#held.values()].map(({ entryId }) => entryId))];
  }

  /**
   * Counts the slots in use on a target.
   * @param instanceId - the target
   * @param entryId - counts those of this entry only
   * @returns how many slots are in use
   */
  onInstance(instanceId: string, entryId?: string): number {
    if (entryId !== undefined) return this.#byUse.get(useKey(instanceId, entryId)) ?? 0;
    return this.#byInstance.get(instanceId) ?? 0;
  }

  /**
   * Counts the slots that a team uses.
   * @param team - the team
   * @returns how many slots are in use
   */
  ofTeam(team: string): number {
    return this.#byTeam.get(team) ?? 0;
  }

  #change(slot: HeldSlot, amount: number): void {
    addTo(this.#byInstance, slot.instanceId, amount);
    addTo(this.#byTeam, slot.team, amount);
    addTo(this.#byUse, useKey(slot.instanceId, slot.entryId), amount);
  }
}

function useKey(instanceId: string, entryId: string): string {
  return `${instanceId}\u0000${entryId}`;
}

function addTo(counts: Map<string, number>, key: string, amount: number): void {
  const next = (counts.get(key) ?? 0) + amount;
  if (next === 0) counts.delete(key);
  else counts.set(key, next);
}
