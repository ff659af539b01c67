/**
 * Maps keys to workspaces. It holds digests instead of keys, so that no key can be read from the memory of a process.
 * @packageDocumentation
 */
import { createHash } from "node:crypto";

/** The keys of one configuration. */
export class KeyDirectory {
  /** Workspace names by the digest of their keys. */
  readonly #workspaces = new Map<string, string>();

  /** Number of distinct keys. */
  get size(): number {
    return this.#workspaces.size;
  }

  /**
   * Adds a key, unless another workspace has it.
   * @param key - the key in plain text
   * @param workspace - the workspace's name
   * @returns the name of the other workspace that has the key; undefined when the key was added
   */
  add(key: string, workspace: string): string | undefined {
    const digest = digestKey(key);
    const other = this.#workspaces.get(digest);
    if (other !== undefined && other !== workspace) return other;
    this.#workspaces.set(digest, workspace);
    return undefined;
  }

  /**
   * Finds the workspace of a key in constant time.
   * @param key - the key in plain text
   * @returns the workspace's name; undefined when no workspace has the key
   */
  find(key: string): string | undefined {
    return this.#workspaces.get(digestKey(key));
  }

  /**
   * Counts the keys that another directory doesn't hold for the same workspace.
   * @param other - the other directory; undefined for an empty one
   * @returns the number of keys
   */
  countMissingIn(other: KeyDirectory | undefined): number {
    if (other === undefined) return this.#workspaces.size;
    let count = 0;
    for (const [digest, workspace] of this.#workspaces)
      if (other.#workspaces.get(digest) !== workspace) count += 1;
    return count;
  }
}

function digestKey(key: string): string {
  return createHash("sha256").update(key).digest("base64");
}
