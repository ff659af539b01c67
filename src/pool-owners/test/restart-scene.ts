/**
 * Targets that restart under their old identifiers beside an owner that goes: the steps of both, one at a time.
 * @packageDocumentation
 */
import { expect, vi, type TestContext } from "vitest";
import type { StepDefinition } from "../../jobs/index.js";
import type { JobTarget, RunRecord, TaskBehaviour } from "../../stand-ins/index.js";
import type { TransactionalStore } from "../../store/index.js";
import { decodeTakeoverState, takeoverStatePrefix, type TakeoverState } from "../owner-record.js";
import type { PoolOwner } from "../pool-owner.js";
import {
  createStep,
  pool,
  startOwnerFixture,
  submission,
  waitFor,
  type OwnerFixture,
  type TestEntry,
} from "./owner-fixture.js";

const oneCore = { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 };
/** Longer than the next owner's wait for a requested lease. */
const longestLeaseMilliseconds = 4_500;
/** Longer than the longest lease, so that a run on a silent target ends by its lease. */
const runMilliseconds = 10_000;
/** Age of processes that have run for long, by their clocks and their start times. */
const longLivedMilliseconds = 120_000;
const outage = { outageMilliseconds: 200, heartbeatMilliseconds: 0 };

/** A step of one task that outlasts all leases. */
export const longStep = createStep({ taskCount: 1, estimateMilliseconds: runMilliseconds });

/** Waits. */
export async function wait(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** An owner with targets whose processes have run for long. */
export class RestartScene {
  readonly fixture: OwnerFixture;
  /** The entry that was started last. */
  entry: TestEntry;
  #entries = 0;
  readonly #adapt: ((store: TransactionalStore) => TransactionalStore) | undefined;

  /**
   * Starts the targets and an entry, which end with the test.
   * @param context - the test, of several that run at once
   * @param targetCount - the number of targets
   * @param adapt - may wrap the store of the entries
   */
  constructor(
    context: TestContext,
    targetCount = 2,
    adapt?: (store: TransactionalStore) => TransactionalStore,
  ) {
    this.#adapt = adapt;
    this.fixture = startLongLived(targetCount);
    context.onTestFinished(() => {
      this.fixture.close();
    });
    this.entry = this.next();
  }

  /** Starts a further entry. */
  next(): TestEntry {
    this.#entries += 1;
    this.entry = this.fixture.startEntry(`entry-${this.#entries}`, this.#adapt);
    return this.entry;
  }

  /** Waits until the newest entry owns the pool. */
  async owner(): Promise<PoolOwner> {
    return this.fixture.owner(this.entry);
  }

  /** Submits a job to the newest entry once that owns the pool; the job has to be accepted. */
  async submit(jobId: string, ...steps: StepDefinition[]): Promise<void> {
    const owner = await this.owner();
    const outcome = await owner.submit(submission(jobId, ...steps));
    expect(outcome.kind).toBe("accepted");
  }

  /**
   * Lets all targets restart after an outage in which orders wait, while the registry names their former processes.
   * @returns a function that lets the registry name the present processes of the targets given
   */
  restartAll(): (isReleased: (targetId: string) => boolean) => void {
    const { fleet } = this.fixture;
    const releases = new Map(
      [...fleet.targets].map(([targetId, target]) => [targetId, holdRegistration(target)]),
    );
    for (const targetId of fleet.targets.keys()) fleet.restartWithWaitingOrders(targetId, outage);
    return (isReleased) => {
      for (const [targetId, release] of releases) if (isReleased(targetId)) release();
    };
  }

  /** Waits for the first run of a task; returns it with its target. */
  async findRun(task: string): Promise<{ readonly run: RunRecord; readonly target: JobTarget }> {
    const run = await waitFor(() => this.runsOf(task)[0]);
    return { run, target: this.target(run.targetId) };
  }

  /** The runs of a task so far. */
  runsOf(task: string): readonly RunRecord[] {
    return this.fixture.fleet.world.history.filter((run) => run.task === task);
  }

  /** Finds a target. */
  target(targetId: string): JobTarget {
    const target = this.fixture.fleet.targets.get(targetId);
    if (target === undefined) throw new Error(`there is no target ${targetId}`);
    return target;
  }

  /** Waits for a log line of the newest entry that contains all the texts, for as many as are wanted. */
  async untilLogged(texts: readonly string[], wanted = 1): Promise<string> {
    return waitFor(() => {
      const found = this.entry.lines.filter((line) => texts.every((text) => line.includes(text)));
      return found[wanted - 1];
    });
  }

  /** Waits until the newest entry has noticed that another process of a target answers, as often as is wanted. */
  async untilReplaced(targetId: string, wanted = 1): Promise<void> {
    await this.untilLogged(["event=target-session-closed", `target=${targetId} reason=replaced`], wanted);
  }

  /** The takeover state in the store. */
  stored(): TakeoverState {
    const [record] = this.fixture.engine.range(`${takeoverStatePrefix}${pool}`);
    return decodeTakeoverState(
      record === undefined ? undefined : JSON.parse(record.value),
      record?.revision ?? 0,
    );
  }

  /** Waits for the second run of a task and expects that it began after the first one had ended by its lease. */
  async expectNoOverlap(task: string): Promise<void> {
    const second = await waitFor(() => this.runsOf(task)[1]);
    const [first] = this.runsOf(task);
    expect(first?.to ?? Infinity).toBeLessThanOrEqual(second.from);
    expect(first?.how).toBe("lease-lapsed");
    this.expectAllStored();
  }

  /** Expects that the stored takeover state has listed the target of each run, and of each start when it was sent. */
  expectAllStored(): void {
    this.fixture.storedTargets.check();
    expect(this.fixture.storedTargets.violations()).toEqual([]);
  }
}

/** Creates targets whose clocks and start times say that they have run for long. */
function startLongLived(targetCount: number): OwnerFixture {
  const bornAt = {
    unix: Date.now() - longLivedMilliseconds,
    monotonic: performance.now() - longLivedMilliseconds,
  };
  const clocks = [
    vi.spyOn(Date, "now").mockReturnValue(bornAt.unix),
    vi.spyOn(performance, "now").mockReturnValue(bornAt.monotonic),
  ];
  const behaviour = (task: string): TaskBehaviour => ({
    needs: oneCore,
    runMilliseconds: task.startsWith("short") ? 100 : runMilliseconds,
    isLasting: task.startsWith("lasting"),
    fails: false,
  });
  const fixture = startOwnerFixture({ targetCount, coresPerTarget: 4, behaviour, longestLeaseMilliseconds });
  for (const clock of clocks) clock.mockRestore();
  return fixture;
}

/** Lets the registry name a target's present process until the function that is returned is called. */
function holdRegistration(target: JobTarget): () => void {
  const record = target.describe();
  const spy = vi.spyOn(target, "describe").mockReturnValue(record);
  return () => {
    spy.mockRestore();
  };
}
