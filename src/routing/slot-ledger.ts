/**
 * The pool owner's record of the slots in use on the pool's targets.
 * @packageDocumentation
 */

/** A granted slot that was not released. */
export interface UsedSlot {
  readonly grantId: string;
  readonly instanceId: string;
  /** The entry that uses the slot. */
  readonly entryId: string;
  readonly team: string;
  readonly operationKey: string;
  /** Time at which this owner granted the slot or received the report of it, in milliseconds since the epoch. */
  readonly grantedAt: number;
}

/** Slots in use, counted by target, by team and by entry. */
export class SlotLedger {
  readonly #slots = new Map<string, UsedSlot>();
  readonly #countByInstance = new Map<string, number>();
  readonly #countByTeam = new Map<string, number>();
  readonly #countByInstanceAndEntry = new Map<string, number>();

  /**
   * Counts all slots in use.
   * @returns the number of slots on all targets
   */
  size(): number {
    return this.#slots.size;
  }

  /**
   * Adds a slot.
   * @param slot - ignored when a slot with the same grant is already recorded
   */
  add(slot: UsedSlot): void {
    if (this.#slots.has(slot.grantId)) return;
    this.#slots.set(slot.grantId, slot);
    this.#changeCounts(slot, 1);
  }

  /**
   * Removes a slot.
   * @param grantId - grant of the slot
   * @returns the slot, or undefined when none with this grant is recorded
   */
  remove(grantId: string): UsedSlot | undefined {
    const slot = this.#slots.get(grantId);
    if (slot === undefined) return undefined;
    this.#slots.delete(grantId);
    this.#changeCounts(slot, -1);
    return slot;
  }

  /**
   * Lists the slots that an entry uses.
   * @param entryId - the entry
   * @returns a new array, empty when the entry uses none
   */
  slotsOfEntry(entryId: string): UsedSlot[] {
    return [...this.#slots.values()].filter((slot) => slot.entryId === entryId);
  }

  /**
   * Lists the entries that use slots.
   * @returns identifiers without duplicates
   */
  entryIds(): string[] {
    return [...new Set([...this.#slots.values()].map(({ entryId }) => entryId))];
  }

  /**
   * Counts the slots in use on a target.
   * @param instanceId - the target
   * @param entryId - restricts the count to this entry's slots; all entries when undefined
   * @returns the number of slots
   */
  countOnInstance(instanceId: string, entryId?: string): number {
    if (entryId !== undefined)
      return this.#countByInstanceAndEntry.get(instanceEntryKey(instanceId, entryId)) ?? 0;
    return this.#countByInstance.get(instanceId) ?? 0;
  }

  /**
   * Counts the slots that a team uses.
   * @param team - the team
   * @returns the number of slots on all targets
   */
  countOfTeam(team: string): number {
    return this.#countByTeam.get(team) ?? 0;
  }

  #changeCounts(slot: UsedSlot, amount: number): void {
    addToCount(this.#countByInstance, slot.instanceId, amount);
    addToCount(this.#countByTeam, slot.team, amount);
    addToCount(this.#countByInstanceAndEntry, instanceEntryKey(slot.instanceId, slot.entryId), amount);
  }
}

function instanceEntryKey(instanceId: string, entryId: string): string {
  return `${instanceId}\u0000${entryId}`;
}

function addToCount(counts: Map<string, number>, key: string, amount: number): void {
  const next = (counts.get(key) ?? 0) + amount;
  if (next === 0) counts.delete(key);
  else counts.set(key, next);
}
