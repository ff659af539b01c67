/**
 * Plans rounds in which many targets start again under their identifiers and are cut off soon after, from the seed of a soak.
 * @packageDocumentation
 */
import { createRandom, type Random } from "../shared/index.js";
import type { SoakBounds } from "./bounds.js";
import type { SoakTimes } from "./fault-plan.js";

/** The names of all variants of the rounds; each adds to them or changes them. */
export const restartVariants = [
  "owner-kill",
  "early-cut",
  "held-calls",
  "store-down",
  "drain",
  "clock-jump",
  "owner-kill-at-restart",
  "owner-stop-at-restart",
  "two-owner-kills",
] as const;

/** The name of a variant. */
export type RestartVariant = (typeof restartVariants)[number];

/**
 * What becomes of calls to a target without a process: they are `refused`, get no response (`silent`), or wait and are carried
 * out by the next process (`held`).
 */
export type DarkKind = "refused" | "silent" | "held";

/**
 * How a target is cut off: both ways (`silent`), in the direction of its answers (`no-answers`), or one of the two with delivery
 * of what waited at the end of the cut (`held`, `held-answers`).
 */
export type CutKind = "silent" | "no-answers" | "held" | "held-answers";

/** The restart of one target and the cut after it. */
export interface PlannedRestart {
  /** The position of the target's machine in the list of all machines. */
  readonly machineIndex: number;
  /** Milliseconds after the start of the round. */
  readonly crashAfter: number;
  readonly dark: DarkKind;
  /** Calls that arrive this many milliseconds before the crash wait for the next process; only if `dark` is `held`. */
  readonly heldMilliseconds: number;
  /** How long no process runs. */
  readonly darkMilliseconds: number;
  /** Milliseconds from the start of the new process to its first heartbeat, until which the registration names the former one. */
  readonly heartbeatAfter: number;
  /** Milliseconds from the start of the new process to the cut. */
  readonly cutAfter: number;
  readonly cut: CutKind;
  readonly cutMilliseconds: number;
}

/** A change of an entry's clock. */
export interface PlannedClockJump {
  /** Selects the entry by its relative position in the list, from 0 to 1. */
  readonly choice: number;
  /** Milliseconds after the start of the round. */
  readonly after: number;
  /** The difference from the real time, which replaces the one before. */
  readonly offsetMilliseconds: number;
}

/** An interruption of the store. */
export interface PlannedOutage {
  /** Milliseconds after the start of the round. */
  readonly after: number;
  readonly milliseconds: number;
}

/** A target that drains. */
export interface PlannedDrain {
  readonly machineIndex: number;
  /** Milliseconds after the start of the round. */
  readonly after: number;
}

/** The end of an entry that owns a pool. */
export interface PlannedOwnerEnd {
  /** Selects the pool by its relative position in the list, from 0 to 1. */
  readonly choice: number;
  /** Milliseconds after the start of the round. */
  readonly after: number;
  /** How long the entry is away. */
  readonly milliseconds: number;
  /** Whether the entry is killed, or is told to stop. */
  readonly how: "kill" | "stop";
  /** Milliseconds from the takeover by the next owner to its kill; undefined when it is left alone. */
  readonly nextAfter: number | undefined;
}

/** One round. */
export interface RestartRound {
  /** Milliseconds after the start of the soak. */
  readonly at: number;
  readonly restarts: readonly PlannedRestart[];
  readonly ownerEnds: readonly PlannedOwnerEnd[];
  readonly outages: readonly PlannedOutage[];
  readonly drains: readonly PlannedDrain[];
  readonly clockJumps: readonly PlannedClockJump[];
}

/** The machines of a soak; those of one pool are consecutive. */
export interface MachineCounts {
  readonly entries: number;
  readonly pools: number;
  readonly targetsPerPool: number;
}

const firstRoundMilliseconds = 5_000;
const roundMilliseconds = 14_000;
/** From the start of a round until its last effect has ended. */
const longestRoundMilliseconds = 12_500;
const longestCrashOffset = 60;
const darkMilliseconds = [550, 650] as const;
const longestHeldMilliseconds = 300;
const cutAfterMilliseconds = [1_700, 2_200] as const;
const earlyCutMilliseconds = [200, 1_200] as const;
const cutMilliseconds = [8_500, 9_500] as const;
const ownerKillMilliseconds = [1_300, 2_300] as const;
const ownerAwayMilliseconds = [400, 3_000] as const;
/** From the moment at which a target is back. */
const ownerEndMilliseconds = [20, 600] as const;
/** From the takeover by the next owner. */
const nextKillMilliseconds = [20, 1_000] as const;
const outageMilliseconds = [2_000, 4_000] as const;
const earliestOutage = 200;
const latestDrainMilliseconds = 3_000;
const drainsPerRound = 2;
const jumpMilliseconds = [10_000, 60_000] as const;
const jumpsPerEntryAndRound = 2;

/**
 * Draws the rounds that fit in the time with faults.
 * @param seed - equal seeds give equal plans
 * @param times - the phases of the soak
 * @param counts - the number of machines and entries
 * @param bounds - contains the heartbeat interval
 * @param variants - what is added
 * @returns the rounds in order of time
 */
export function planRestarts(
  seed: number,
  times: SoakTimes,
  counts: MachineCounts,
  bounds: SoakBounds,
  variants: readonly RestartVariant[],
): RestartRound[] {
  const random = createRandom(seed);
  const latest = times.trafficEndsAt - longestRoundMilliseconds;
  const count = Math.max(0, Math.floor((latest - firstRoundMilliseconds) / roundMilliseconds) + 1);
  return Array.from({ length: count }, (_, index) => {
    const at = firstRoundMilliseconds + index * roundMilliseconds;
    return drawRound(random, at, counts, bounds, variants);
  });
}

function drawRound(
  random: Random,
  at: number,
  counts: MachineCounts,
  bounds: SoakBounds,
  variants: readonly RestartVariant[],
): RestartRound {
  const has = (variant: RestartVariant): boolean => variants.includes(variant);
  const machines = drawMachines(random, counts);
  const restarts = machines.chosen.map((machineIndex) => drawRestart(random, machineIndex, bounds, variants));
  return {
    at,
    restarts,
    ownerEnds: [
      ...(has("owner-kill") ? [drawOwnerKill(random)] : []),
      ...drawEndsAtRestart(random, restarts, counts, variants),
    ],
    outages: has("store-down") ? [drawOutage(random)] : [],
    drains: has("drain") ? drawDrains(random, machines) : [],
    clockJumps: has("clock-jump") ? drawClockJumps(random, counts) : [],
  };
}

function drawBetween(random: Random, [least, most]: readonly [number, number]): number {
  return random.integer(least, most);
}

function draw<Item>(random: Random, items: readonly [Item, ...Item[]]): Item {
  return items[random.integer(0, items.length - 1)] ?? items[0];
}

interface DrawnMachines {
  readonly chosen: readonly number[];
  readonly others: readonly number[];
}

/** Chooses half of the machines of each pool, so that the others have room for their tasks. */
function drawMachines(random: Random, { pools, targetsPerPool }: MachineCounts): DrawnMachines {
  const drawn = Array.from({ length: pools }, (_, pool): DrawnMachines => {
    const order = Array.from({ length: targetsPerPool }, (__, index) => ({
      machineIndex: pool * targetsPerPool + index,
      rank: random.fraction(),
    })).sort((left, right) => left.rank - right.rank);
    const count = Math.ceil(targetsPerPool / 2);
    const indexes = order.map(({ machineIndex }) => machineIndex);
    return { chosen: indexes.slice(0, count), others: indexes.slice(count) };
  });
  return {
    chosen: drawn.flatMap(({ chosen }) => chosen),
    others: drawn.flatMap(({ others }) => others),
  };
}

function drawRestart(
  random: Random,
  machineIndex: number,
  { heartbeatMilliseconds }: SoakBounds,
  variants: readonly RestartVariant[],
): PlannedRestart {
  const dark = draw<DarkKind>(random, ["refused", "silent", "held", "held"]);
  const isEarly = variants.includes("early-cut");
  const cutAfter = drawBetween(random, isEarly ? earlyCutMilliseconds : cutAfterMilliseconds);
  const heartbeatAfter = random.integer(0, heartbeatMilliseconds);
  const cut = variants.includes("held-calls")
    ? draw<CutKind>(random, ["held", "held-answers", "silent", "no-answers"])
    : draw<CutKind>(random, ["silent", "no-answers"]);
  return {
    machineIndex,
    crashAfter: random.integer(0, longestCrashOffset),
    dark,
    heldMilliseconds: dark === "held" ? random.integer(0, longestHeldMilliseconds) : 0,
    darkMilliseconds: drawBetween(random, darkMilliseconds),
    heartbeatAfter: isEarly ? Math.max(heartbeatAfter, cutAfter + 1) : heartbeatAfter,
    cutAfter,
    cut,
    cutMilliseconds: drawBetween(random, cutMilliseconds),
  };
}

function drawOwnerKill(random: Random): PlannedOwnerEnd {
  return {
    choice: random.fraction(),
    after: drawBetween(random, ownerKillMilliseconds),
    milliseconds: drawBetween(random, ownerAwayMilliseconds),
    how: "kill",
    nextAfter: undefined,
  };
}

/** Draws the end of each pool's owner, soon after one of the pool's targets is back. */
function drawEndsAtRestart(
  random: Random,
  restarts: readonly PlannedRestart[],
  { pools, targetsPerPool }: MachineCounts,
  variants: readonly RestartVariant[],
): PlannedOwnerEnd[] {
  const isKilledTwice = variants.includes("two-owner-kills");
  const ways: PlannedOwnerEnd["how"][] = [];
  if (isKilledTwice || variants.includes("owner-kill-at-restart")) ways.push("kill");
  if (variants.includes("owner-stop-at-restart")) ways.push("stop");
  const [first, ...others] = ways;
  if (first === undefined) return [];
  return Array.from({ length: pools }, (_, pool) => {
    const own = restarts.filter(({ machineIndex }) => Math.floor(machineIndex / targetsPerPool) === pool);
    const [back = 0, ...laterBacks] = own.map(findReturn);
    return {
      choice: (pool + 1 / 2) / pools,
      after: draw(random, [back, ...laterBacks]) + drawBetween(random, ownerEndMilliseconds),
      milliseconds: drawBetween(random, ownerAwayMilliseconds),
      how: draw(random, [first, ...others]),
      nextAfter: isKilledTwice ? drawBetween(random, nextKillMilliseconds) : undefined,
    };
  });
}

/**
 * Finds when the new process of a target starts.
 * @returns milliseconds after the start of the round
 */
function findReturn({ crashAfter, heldMilliseconds, darkMilliseconds: dark }: PlannedRestart): number {
  return crashAfter + heldMilliseconds + dark;
}

function drawOutage(random: Random): PlannedOutage {
  return {
    after: random.integer(0, earliestOutage + darkMilliseconds[1]),
    milliseconds: drawBetween(random, outageMilliseconds),
  };
}

/** Draws targets that drain: most of them are not among those that are cut off. */
function drawDrains(random: Random, { chosen, others }: DrawnMachines): PlannedDrain[] {
  const candidates = [...others, ...chosen.slice(0, 1)];
  return Array.from({ length: drainsPerRound }, () => ({
    machineIndex: candidates[random.integer(0, candidates.length - 1)] ?? 0,
    after: random.integer(0, latestDrainMilliseconds),
  }));
}

function drawClockJumps(random: Random, { entries }: MachineCounts): PlannedClockJump[] {
  return Array.from({ length: entries * jumpsPerEntryAndRound }, (_, index) => {
    const size = drawBetween(random, jumpMilliseconds);
    return {
      choice: (index % entries) / entries,
      after: random.integer(0, roundMilliseconds),
      offsetMilliseconds: random.fraction() < 1 / 2 ? -size : size,
    };
  });
}
