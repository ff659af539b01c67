/**
 * Which workspace a key belongs to. Digests stand in place of keys, so that none can be read out of a process's state.
 * @packageDocumentation
 */
import { createHash } from "node:crypto";

/** The keys of one configuration. */
export class KeyDirectory {
  /** Names of workspaces by digest. */
  readonly #owners = new Map<string, string>();

  /** How many keys are held. */
  get size(): number {
    return this.#owners.size;
  }

  /**
   * Adds a key.
   * @param key - the key
   * @param workspace - the name of its workspace
   * @returns the name of another workspace that has the key already; undefined when there is none
   */
  add(key: string, workspace: string): string | undefined {
    const digest = digestKey(key);
    const other = this.#owners.get(digest);
    if (other !== undefined && other !== workspace) return other;
    this.#owners.set(digest, workspace);
    return undefined;
  }

  /**
   * Finds the workspace of a key, in a time that does not grow with their number.
   * @param key - the key
   * @returns the workspace's name; undefined when no workspace has the key
   */
  find(key: string): string | undefined {
    return this.#owners.get(digestKey(key));
  }

  /**
   * Counts keys that another directory does not hold for the same workspace.
   * @param other - the other directory; undefined for one without keys
   * @returns how many there are
   */
  countMissingIn(other: KeyDirectory | undefined): number {
    if (other === undefined) return this.#owners.size;
    let count = 0;
    for (const [digest, workspace] of this.#owners) if (other.#owners.get(digest) !== workspace) count += 1;
    return count;
  }
}

function digestKey(key: string): string {
  return createHash("sha256").update(key).digest("base64");
}
