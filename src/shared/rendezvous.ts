/**
 * Rendezvous hashing: every process that knows the same members picks the same owner.
 * @packageDocumentation
 */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Hashes a text to 32 bits.
 * @param text - any text
 * @returns a whole number from 0 to 2^32 - 1
 */
export function hashText(text: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  }
  return mixHashBits(hash);
}

/**
 * Orders members by their rendezvous score for a key.
 * @param key - what is to be owned
 * @param members - identifiers of the candidates
 * @returns the members, the owner first
 */
export function rendezvousOrder(key: string, members: readonly string[]): string[] {
  return members
    .map((member) => ({ member, score: hashText(`${key}\u0000${member}`) }))
    .sort((left, right) => right.score - left.score || left.member.localeCompare(right.member))
    .map(({ member }) => member);
}

/**
 * Picks the owner of a key.
 * @param key - what is to be owned
 * @param members - identifiers of the candidates
 * @returns the owner, or undefined without members
 */
export function rendezvousOwner(key: string, members: readonly string[]): string | undefined {
  return rendezvousOrder(key, members)[0];
}

/** A candidate that takes a share of all keys in proportion to its weight. */
export interface WeightedMember {
  readonly id: string;
  /** Above 0. */
  readonly weight: number;
}

/**
 * Orders members by their rendezvous score for a key, so that each owns a share of all keys in proportion to its weight.
 * @param key - what is to be owned
 * @param members - the candidates
 * @returns identifiers of the members, the owner first
 */
export function weightedRendezvousOrder(key: string, members: readonly WeightedMember[]): string[] {
  return members
    .map(({ id, weight }) => ({ id, score: weightedScore(hashText(`${key}\u0000${id}`), weight) }))
    .sort((left, right) => right.score - left.score || left.id.localeCompare(right.id))
    .map(({ id }) => id);
}

const hashValues = 2 ** 32;

/** The largest of such scores falls to each member in proportion to its weight. */
function weightedScore(hash: number, weight: number): number {
  return -weight / Math.log((hash + 0.5) / hashValues);
}

/** Spreads the bits of a hash whose low bits alone are well mixed. */
function mixHashBits(hash: number): number {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
