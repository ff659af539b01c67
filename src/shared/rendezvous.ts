/**
 * Rendezvous hashing: processes with the same member list choose the same owner of a key without coordination.
 * @packageDocumentation
 */

/** Offset basis and prime of the 32-bit FNV-1a hash. */
const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Hashes a string to 32 bits with FNV-1a over its UTF-16 units and a final mix.
 * @param text - any string
 * @returns an integer from 0 to 2^32 - 1, the same in every process
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
 * @param key - identifies the object to be owned
 * @param members - identifiers of the candidates, in any order
 * @returns the members in order of preference, the owner first
 */
export function rendezvousOrder(key: string, members: readonly string[]): string[] {
  return members
    .map((member) => ({ member, score: hashText(`${key}\u0000${member}`) }))
    .sort((left, right) => right.score - left.score || left.member.localeCompare(right.member))
    .map(({ member }) => member);
}

/**
 * Chooses the owner of a key.
 * @param key - identifies the object to be owned
 * @param members - identifiers of the candidates, in any order
 * @returns the owner; undefined when there are no members
 */
export function rendezvousOwner(key: string, members: readonly string[]): string | undefined {
  return rendezvousOrder(key, members)[0];
}

/** A candidate that owns a share of all keys in proportion to its weight. */
export interface WeightedMember {
  readonly id: string;
  /** Greater than 0; in any unit, since only the ratio between members counts. */
  readonly weight: number;
}

/**
 * Orders members by their rendezvous score for a key, so that each owns a share of all keys in proportion to its
 * weight.
 * @param key - identifies the object to be owned
 * @param members - the candidates, in any order
 * @returns identifiers of the members in order of preference, the owner first
 */
export function weightedRendezvousOrder(key: string, members: readonly WeightedMember[]): string[] {
  return members
    .map(({ id, weight }) => ({ id, score: weightedScore(hashText(`${key}\u0000${id}`), weight) }))
    .sort((left, right) => right.score - left.score || left.id.localeCompare(right.id))
    .map(({ id }) => id);
}

const hashValues = 2 ** 32;

/**
 * Score of weighted rendezvous hashing: each member has the highest score with a probability proportional to its
 * weight.
 */
function weightedScore(hash: number, weight: number): number {
  return -weight / Math.log((hash + 0.5) / hashValues);
}

/** Final mix of MurmurHash3: FNV-1a mixes only the low bits well, and scores are compared by the high bits. */
function mixHashBits(hash: number): number {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
