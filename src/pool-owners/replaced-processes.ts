/**
 * Processes of targets that have been replaced under their identifiers while the registry still names them. A target's record
 * changes with its next heartbeat; until then a session with it would end as soon as it opens.
 * @packageDocumentation
 */
import type { TargetIdentity } from "../task-runs/index.js";

/** Pause before a session is opened once more with the process that the registry names. */
const pauseMilliseconds = 250;

interface Replaced {
  readonly startedAtUnix: number;
  readonly timer: NodeJS.Timeout;
}

/** Replaced processes with which no session is opened for a while. */
export class ReplacedProcesses {
  readonly #replaced = new Map<string, Replaced>();
  readonly #onPauseEnded: () => void;

  /**
   * Creates an empty set.
   * @param onPauseEnded - called when a session may be opened once more
   */
  constructor(onPauseEnded: () => void) {
    this.#onPauseEnded = onPauseEnded;
  }

  /** Begins the pause of a process; another process of the target has answered in its place. */
  add({ targetId, startedAtUnix }: TargetIdentity): void {
    clearTimeout(this.#replaced.get(targetId)?.timer);
    const timer = setTimeout(() => {
      this.#replaced.delete(targetId);
      this.#onPauseEnded();
    }, pauseMilliseconds);
    timer.unref();
    this.#replaced.set(targetId, { startedAtUnix, timer });
  }

  /**
   * Whether the pause of a process lasts.
   * @param target - the process that the registry names
   * @returns false for any other process of the target
   */
  has({ targetId, startedAtUnix }: TargetIdentity): boolean {
    return this.#replaced.get(targetId)?.startedAtUnix === startedAtUnix;
  }

  /** Ends all pauses; nothing is called any more. */
  close(): void {
    for (const { timer } of this.#replaced.values()) clearTimeout(timer);
    this.#replaced.clear();
  }
}
