/**
 * Model-based test of configuration changes: concurrent operators, lost store responses, store outages and entry
 * restarts in random order.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import fc from "fast-check";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createStoreMirror, type StoreMirror } from "../../store/index.js";
import {
  createStoreEngine,
  createStoreFaults,
  MemoryStoreClient,
  type StoreEngine,
  type StoreFaults,
} from "../../stand-ins/store/index.js";
import { createLog } from "../../telemetry/index.js";
import {
  applyChange,
  createConfigurationKeeper,
  currentConfigurationKey,
  followStore,
  readHistory,
  type AcceptedConfiguration,
  type ConfigurationKeeper,
} from "../index.js";

const configuration: unknown = JSON.parse(
  await readFile(new URL("../../../examples/agency/text.json", import.meta.url), "utf8"),
);
const entryCount = 3;
const log = createLog("silent");

interface RunningEntry {
  readonly keeper: ConfigurationKeeper;
  readonly mirror: StoreMirror;
  readonly client: MemoryStoreClient;
  readonly faults: StoreFaults;
  /** The highest revision that was in force in this entry so far. */
  highest: number;
}

/** Changes that operators have sent, with the results that were reported to them. */
interface Model {
  nextChange: number;
  /** Revision of each change that was reported to an operator as accepted. */
  readonly accepted: Map<string, number>;
}

interface System {
  readonly engine: StoreEngine;
  readonly entries: RunningEntry[];
}

function startTestEntry(engine: StoreEngine): RunningEntry {
  const faults = createStoreFaults();
  const client = new MemoryStoreClient(engine, faults);
  const options = { store: client, prefix: currentConfigurationKey };
  const mirror = createStoreMirror({ ...options, refreshMilliseconds: 1_000, retryMilliseconds: 200 });
  const keeper = createConfigurationKeeper(log);
  followStore(keeper, mirror);
  return { keeper, mirror, client, faults, highest: 0 };
}

type Step = (system: System, model: Model) => Promise<void>;

/** Runs a step as a fast-check command, then checks that no entry's revision decreased. */
class StepCommand implements fc.AsyncCommand<Model, System> {
  constructor(
    private readonly name: string,
    private readonly step: Step,
  ) {}

  check(): boolean {
    return true;
  }

  async run(model: Model, system: System): Promise<void> {
    await this.step(system, model);
    for (const entry of system.entries) {
      expect(entry.keeper.revision()).toBeGreaterThanOrEqual(entry.highest);
      entry.highest = entry.keeper.revision();
    }
  }

  toString(): string {
    return this.name;
  }
}

async function applyAt(entry: RunningEntry | undefined, changeId: string, model: Model): Promise<void> {
  if (entry === undefined) return;
  const change = { changeId, author: "test", baseRevision: entry.keeper.revision(), text: configuration };
  const result = await applyChange(entry.client, change);
  result.ifRight((accepted) => {
    const earlierRevision = model.accepted.get(changeId);
    if (earlierRevision !== undefined) expect(accepted.revision).toBe(earlierRevision);
    model.accepted.set(changeId, accepted.revision);
    entry.keeper.adopt(accepted);
  });
}

const entryIndex = fc.integer({ min: 0, max: entryCount - 1 });

const commands = [
  fc.tuple(entryIndex, entryIndex).map(([left, right]) => {
    const step: Step = async ({ entries }, model) => {
      const [one, two] = [`change-${model.nextChange}`, `change-${model.nextChange + 1}`];
      model.nextChange += 2;
      await Promise.all([applyAt(entries[left], one, model), applyAt(entries[right], two, model)]);
    };
    return new StepCommand(`race(${left}, ${right})`, step);
  }),
  fc.tuple(entryIndex, fc.nat({ max: 20 })).map(([index, number]) => {
    const step: Step = async ({ entries }, model) => applyAt(entries[index], `change-${number}`, model);
    return new StepCommand(`repeat(${index}, ${number})`, step);
  }),
  fc.tuple(entryIndex, fc.integer({ min: 1, max: 3 })).map(([index, count]) => {
    const step: Step = async ({ entries }) => {
      const entry = entries[index];
      if (entry !== undefined) entry.faults.loseAnswers = count;
      return Promise.resolve();
    };
    return new StepCommand(`loseAnswers(${index}, ${count})`, step);
  }),
  fc
    .tuple(entryIndex, fc.constantFrom("up" as const, "down" as const), fc.boolean())
    .map(([index, mode, mute]) => {
      const step: Step = async ({ entries }) => {
        const faults = entries[index]?.faults;
        if (faults !== undefined) Object.assign(faults, { mode, muteWatches: mute });
        return Promise.resolve();
      };
      return new StepCommand(`faults(${index}, ${mode}, ${mute})`, step);
    }),
  entryIndex.map((index) => {
    const step: Step = async ({ engine, entries }) => {
      entries[index]?.mirror.close();
      entries[index] = startTestEntry(engine);
      return Promise.resolve();
    };
    return new StepCommand(`restart(${index})`, step);
  }),
  fc.tuple(entryIndex, entryIndex).map(([from, to]) => {
    const step: Step = async ({ entries }) => {
      entries[to]?.keeper.adopt(entries[from]?.keeper.current());
      return Promise.resolve();
    };
    return new StepCommand(`gossip(${from}, ${to})`, step);
  }),
  fc.integer({ min: 10, max: 3_000 }).map((milliseconds) => {
    const step: Step = async () => {
      await vi.advanceTimersByTimeAsync(milliseconds);
    };
    return new StepCommand(`wait(${milliseconds})`, step);
  }),
];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

async function readAll(engine: StoreEngine): Promise<AcceptedConfiguration[]> {
  const reader = new MemoryStoreClient(engine, createStoreFaults());
  return (await readHistory(reader, 1_000)).unsafeCoerce();
}

test("accepted changes are never lost, are accepted once, and come into force in every entry", async () => {
  const property = fc.asyncProperty(fc.commands(commands, { maxCommands: 40 }), async (sequence) => {
    const engine = createStoreEngine();
    const entries = Array.from({ length: entryCount }, () => startTestEntry(engine));
    const model: Model = { nextChange: 0, accepted: new Map() };
    await fc.asyncModelRun(() => ({ model, real: { engine, entries } }), sequence);
    for (const { faults } of entries) Object.assign(faults, createStoreFaults());
    await vi.advanceTimersByTimeAsync(5_000);
    const history = await readAll(engine);
    const revisions = history.map(({ revision }) => revision);
    expect(revisions).toEqual(revisions.map((_, index) => history.length - index));
    expect(new Set(history.map(({ changeId }) => changeId)).size).toBe(history.length);
    for (const [changeId, revision] of model.accepted) {
      expect(history.find((accepted) => accepted.changeId === changeId)?.revision).toBe(revision);
    }
    expect(entries.map(({ keeper }) => keeper.revision())).toEqual(entries.map(() => history.length));
    for (const { mirror } of entries) mirror.close();
  });
  await fc.assert(property, { seed: 5, numRuns: 150 });
});
