/**
 * Plays rounds in which many targets start again under their identifiers and are cut off soon after.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";
import { readClock } from "./clock.js";
import type { EntryProcess } from "./entries.js";
import type { SoakHistory } from "./history.js";
import type { PlatformSession } from "./platform-session.js";
import type {
  PlannedClockJump,
  PlannedDrain,
  PlannedOutage,
  PlannedOwnerEnd,
  PlannedRestart,
  RestartRound,
} from "./restart-plan.js";
import type { TargetHost } from "./targets.js";

/** How long a drained machine is away before its next target starts. */
const drainedMilliseconds = 1_000;
/** How long to wait for a next owner that is to be killed. */
const longestTakeoverMilliseconds = 7_000;
const takeoverCheckMilliseconds = 10;

/** Plays the rounds of one soak. */
export class RestartRounds {
  readonly #session: PlatformSession;
  readonly #history: SoakHistory;

  /**
   * Creates the player.
   * @param session - the running soak
   * @param history - receives a record for each fault
   */
  constructor(session: PlatformSession, history: SoakHistory) {
    this.#session = session;
    this.#history = history;
  }

  /** Plays all rounds, each at its time, and returns when the last effect has ended. */
  async play(rounds: readonly RestartRound[]): Promise<void> {
    await Promise.all(
      rounds.map(async (round) => {
        await delay(this.#history.startedAt + round.at - readClock());
        await this.#playRound(round);
      }),
    );
  }

  async #playRound({ restarts, ownerEnds, outages, drains, clockJumps }: RestartRound): Promise<void> {
    await Promise.all([
      ...restarts.map(async (restart) => this.#restartAndCut(restart)),
      ...ownerEnds.map(async (end) => this.#endOwner(end)),
      ...outages.map(async (outage) => this.#stopStore(outage)),
      ...drains.map(async (drain) => this.#drain(drain)),
      ...clockJumps.map(async (jump) => this.#moveClock(jump)),
    ]);
  }

  async #restartAndCut(restart: PlannedRestart): Promise<void> {
    const { targets } = this.#session;
    const host = this.#findHost(restart.machineIndex);
    if (host === undefined) return;
    await delay(restart.crashAfter);
    const restarted = `${host.targetId} ${restart.dark}, heartbeat after ${restart.heartbeatAfter} ms`;
    await this.#record("target-restart-unannounced", restarted, async () =>
      targets.restartUnannounced(host, restart),
    );
    await delay(restart.cutAfter);
    await this.#record("target-cut-off", `${host.targetId} ${restart.cut}`, async () =>
      targets.cutOff(host, restart.cut, restart.cutMilliseconds),
    );
  }

  async #endOwner(end: PlannedOwnerEnd): Promise<void> {
    const { queues } = this.#session;
    await delay(end.after);
    const pool = queues[Math.floor(end.choice * queues.length)]?.pool ?? "";
    const entry = this.#findOwner(pool);
    if (entry === undefined) return;
    await Promise.all([this.#endEntry(entry, pool, end), this.#killNextOwner(entry, pool, end)]);
  }

  async #killNextOwner(former: EntryProcess, pool: string, end: PlannedOwnerEnd): Promise<void> {
    if (end.nextAfter === undefined) return;
    const latest = readClock() + longestTakeoverMilliseconds;
    let next = this.#findOwner(pool);
    while ((next === undefined || next === former) && readClock() < latest) {
      await delay(takeoverCheckMilliseconds);
      next = this.#findOwner(pool);
    }
    if (next === undefined || next === former) return;
    await delay(end.nextAfter);
    await this.#endEntry(next, pool, { ...end, how: "kill" });
  }

  async #endEntry(entry: EntryProcess, pool: string, { how, milliseconds }: PlannedOwnerEnd): Promise<void> {
    await this.#record(`owner-${how}`, `${entry.entryId} ${pool}`, async () => {
      await (how === "kill" ? entry.kill() : entry.stop());
      await delay(milliseconds);
      await entry.start();
    });
  }

  #findOwner(pool: string): EntryProcess | undefined {
    const entryId = this.#session.owners().get(pool);
    return this.#session.entries.find((each) => each.entryId === entryId);
  }

  async #stopStore({ after, milliseconds }: PlannedOutage): Promise<void> {
    const { storeFaults } = this.#session;
    await delay(after);
    await this.#record("store-down", "store", async () => {
      storeFaults.mode = "down";
      await delay(milliseconds);
      storeFaults.mode = "up";
    });
  }

  async #drain({ machineIndex, after }: PlannedDrain): Promise<void> {
    await delay(after);
    const host = this.#findHost(machineIndex);
    if (host === undefined || host.leavesAt !== undefined) return;
    await this.#record("target-drain", host.targetId, async () =>
      this.#session.drainMachine(host, drainedMilliseconds),
    );
  }

  async #moveClock({ choice, after, offsetMilliseconds }: PlannedClockJump): Promise<void> {
    const { clocks } = this.#session;
    await delay(after);
    const clock = clocks[Math.floor(choice * clocks.length)];
    if (clock === undefined) return;
    await this.#record("clock-jump", `${clock.entryId} ${offsetMilliseconds} ms`, async () =>
      clock.move(offsetMilliseconds),
    );
  }

  #findHost(machineIndex: number): TargetHost | undefined {
    const machineId = `machine-${machineIndex + 1}`;
    return this.#session.targets.up().find(({ machine }) => machine.machineId === machineId);
  }

  async #record(name: string, subject: string, play: () => Promise<void>): Promise<void> {
    const record = { name, subject, from: readClock(), to: Number.POSITIVE_INFINITY, isPlanned: false };
    this.#history.faults.push(record);
    await play();
    record.to = readClock();
  }
}
