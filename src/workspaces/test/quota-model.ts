/**
 * A model of pools that share the cap of one workspace through a record: their copies, runs and writes, without
 * targets, network or store. Tests advance the time.
 * @packageDocumentation
 */
import { HeldQuota, type QuotaPlan } from "../held-quota.js";
import { addAmounts, byResource, noAmounts, type Amounts } from "../quota-record.js";

/** Outcome of a write; a `late` one is carried out by {@link QuotaModel.carryOutLate}. */
export type WriteFate = "done" | "refused" | "lost" | "answer-lost" | "late";

interface Stored {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}

interface LateWrite {
  readonly owner: number;
  readonly pool: ModelPool;
  readonly plan: QuotaPlan;
  readonly expectedRevision: number;
}

/** All pools have received a configuration after this time. */
const configurationDelayMilliseconds = 3_000;
/** A copy of the record may be used until it is this old. */
const maximumCopyAgeMilliseconds = 1_000;

/** A pool and its owner. */
export class ModelPool {
  held: HeldQuota;
  owner = 1;
  received: Stored | undefined;
  lastReceivedAt = Number.NEGATIVE_INFINITY;
  cap: Amounts;
  /** Amounts of the runs that actually exist on targets. */
  runs: Amounts[] = [];
  /** Runs that the owner has not seen yet; a subset of `runs`. */
  unseen: Amounts[] = [];

  /** Creates a pool without runs. */
  constructor(
    readonly name: string,
    cap: Amounts,
  ) {
    this.cap = cap;
    this.held = new HeldQuota(name);
  }
}

/** The pools and their shared record. */
export class QuotaModel {
  readonly pools: readonly ModelPool[];
  now = 0;
  writes = 0;
  #stored: Stored | undefined;
  #revision = 0;
  #late: LateWrite[] = [];
  /** All caps with the time at which they were configured, oldest first. */
  readonly #caps: { readonly cap: Amounts; readonly since: number }[];

  /** Creates pools without a record. */
  constructor(names: readonly string[], cap: Amounts) {
    this.pools = names.map((name) => new ModelPool(name, cap));
    this.#caps = [{ cap, since: Number.NEGATIVE_INFINITY }];
  }

  /** Configures another cap, which pools receive later. */
  configure(cap: Amounts): void {
    this.#caps.push({ cap, since: this.now });
  }

  /** Advances the time; pools receive configurations that are older than the longest delay. */
  pass(milliseconds: number): void {
    this.now += milliseconds;
    for (const pool of this.pools) {
      const settled = this.#caps.filter(({ since }) => since + configurationDelayMilliseconds <= this.now);
      const received = this.#caps.findIndex(({ cap }) => cap === pool.cap);
      if (settled.length > received) pool.cap = settled.at(-1)?.cap ?? pool.cap;
    }
  }

  /** Delivers the newest configuration to a pool. */
  receiveConfiguration(pool: ModelPool): void {
    pool.cap = this.#caps.at(-1)?.cap ?? pool.cap;
  }

  /** Delivers the current record to a pool. */
  receiveRecord(pool: ModelPool): void {
    pool.received = this.#stored;
    pool.lastReceivedAt = this.now;
  }

  /** Runs a placement round; returns the number of starts and a message for each exceeded cap. */
  round(pool: ModelPool, needs: Amounts, wanted: number): { started: number; wrong: string[] } {
    const seen = pool.runs.filter((run) => !pool.unseen.includes(run));
    pool.held.begin({
      cap: pool.cap,
      record: pool.received,
      currentAt: pool.lastReceivedAt,
      running: sum(seen),
      unseen: sum(pool.unseen),
      now: this.now,
    });
    const started = wanted === 0 ? 0 : pool.held.allow(needs, wanted);
    pool.held.use.take(needs, started);
    for (let index = 0; index < started; index += 1) pool.runs.push([...needs]);
    return { started, wrong: started === 0 ? [] : this.#findExcess() };
  }

  /** Writes the plan of the last round, if there is one. */
  settle(pool: ModelPool, fate: WriteFate): void {
    const names = this.pools.map(({ name }) => name);
    const plan = pool.held.plan(names, [], this.now);
    if (plan === undefined) return;
    this.writes += 1;
    const { copy } = pool.held;
    const expectedRevision = copy.revision();
    copy.noteSent(plan.share.share);
    if (fate === "refused") copy.noteNotDone(plan.share.share);
    if (fate === "late") this.#late.push({ owner: pool.owner, pool, plan, expectedRevision });
    if (fate === "refused" || fate === "late" || fate === "lost") return;
    const isDone = this.#write(plan, expectedRevision);
    if (fate === "answer-lost") return;
    if (isDone) copy.update(plan.record, this.#revision);
    else copy.noteNotDone(plan.share.share);
    if (!isDone && this.#stored !== undefined) copy.update(this.#stored.value, this.#stored.revision);
  }

  /** Carries out late writes; those of superseded owners have no effect. */
  carryOutLate(): void {
    for (const { owner, pool, plan, expectedRevision } of this.#late)
      if (owner === pool.owner) this.#write(plan, expectedRevision);
    this.#late = [];
  }

  /** Ends the oldest runs of a pool. */
  end(pool: ModelPool, count: number): void {
    const ended = pool.runs.splice(0, count);
    pool.unseen = pool.unseen.filter((run) => !ended.includes(run));
  }

  /** Replaces a pool's owner; the new one has read the record but has not seen any run. */
  takeOver(pool: ModelPool): void {
    pool.owner += 1;
    pool.held = new HeldQuota(pool.name);
    pool.unseen = [...pool.runs];
    this.receiveRecord(pool);
  }

  /** Stores an unreadable record. */
  spoil(): void {
    this.#revision += 1;
    this.#stored = { key: "", value: "spoiled", revision: this.#revision };
  }

  /** Sums the amounts of all runs. */
  running(): Amounts {
    return sum(this.pools.flatMap(({ runs }) => runs));
  }

  #write({ record }: QuotaPlan, expectedRevision: number): boolean {
    if ((this.#stored?.revision ?? 0) !== expectedRevision) return false;
    this.#revision += 1;
    const value = JSON.parse(JSON.stringify(record)) as unknown;
    this.#stored = { key: "", value, revision: this.#revision };
    return true;
  }

  #findExcess(): string[] {
    const highest = this.#highestCap();
    return this.running().flatMap((amount, resource) =>
      amount > (highest[resource] ?? 0) ? [`${amount} of ${highest[resource]} run`] : [],
    );
  }

  /** Returns the highest amounts of the caps that some pool may still apply. */
  #highestCap(): Amounts {
    const until = this.now - configurationDelayMilliseconds - maximumCopyAgeMilliseconds;
    const inForce = this.#caps.filter((_, index) => (this.#caps[index + 1]?.since ?? Infinity) >= until);
    return byResource((resource) =>
      Math.max(...inForce.map(({ cap }) => (cap[resource] === 0 ? Infinity : cap[resource]))),
    );
  }
}

function sum(runs: readonly Amounts[]): Amounts {
  return runs.reduce<Amounts>(addAmounts, noAmounts);
}
