/**
 * Injects each kind of fault into a running session.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";
import type { LinkState, TcpProxy } from "../stand-ins/index.js";
import type { EntryProcess } from "./entries.js";
import type { FaultName, PlannedFault } from "./fault-plan.js";
import type { JobKind } from "./job-plan.js";
import type { PlatformSession } from "./platform-session.js";
import type { TargetHost } from "./targets.js";

/** The session and the callers that faults act on. */
export interface FaultContext {
  readonly session: PlatformSession;
  /** Submits a number of jobs at once. */
  readonly submitJobs: (count: number, nature: JobKind | undefined, areCancelled: boolean) => void;
}

/** Injects one kind of fault. */
export interface FaultInjector {
  /** Whether the fault is a normal operation, such as a stop, a reload, a configuration change or caller traffic. */
  readonly isPlanned: boolean;
  /** Injects the fault and returns when its effect has ended. */
  readonly inject: (stage: FaultContext, fault: PlannedFault) => Promise<void>;
}

const restartMilliseconds = 400;
const maximumStoreDelayMilliseconds = 250;
const maximumLinkDelayMilliseconds = 300;
const maximumLostAnswers = 40;
const maximumExtraQueues = 200;
const stormGapMilliseconds = 330;
const maximumBurst = 40;
const maximumCancellations = 150;
const seriesGapMilliseconds = 700;
const maximumOrderDelayMilliseconds = 3_000;
const quarter = 0.25;

function defineFault(isPlanned: boolean, play: FaultInjector["inject"]): FaultInjector {
  return { isPlanned, inject: play };
}

function pick<Item>(items: readonly Item[], choice: number): Item | undefined {
  return items[Math.floor(choice * items.length)];
}

/** Picks consecutive items: at least one, at most the given share of all. */
function pickSome<Item>(items: readonly Item[], { choice, amount }: PlannedFault, share = 1): Item[] {
  const count = Math.max(1, Math.ceil(amount * share * items.length));
  const first = Math.floor(choice * items.length);
  return Array.from({ length: Math.min(count, items.length) }, (_, index) => {
    return items[(first + index) % items.length];
  }).filter((item) => item !== undefined);
}

async function killAndRestart(entry: EntryProcess, milliseconds: number): Promise<void> {
  await entry.kill();
  await delay(milliseconds);
  await entry.start();
}

async function stopAndRestart(entry: EntryProcess): Promise<void> {
  await entry.stop();
  await delay(restartMilliseconds);
  await entry.start();
}

const entryFaults = {
  "entry-kill": defineFault(false, async ({ session }, fault) => {
    const entry = pick(session.entries, fault.choice);
    if (entry !== undefined) await killAndRestart(entry, fault.durationMilliseconds * fault.amount);
  }),
  "entry-kill-all": defineFault(false, async ({ session }, fault) => {
    const wait = restartMilliseconds + fault.durationMilliseconds * quarter;
    await Promise.all(session.entries.map(async (entry) => killAndRestart(entry, wait)));
  }),
  "entry-pause": defineFault(false, async ({ session }, fault) => {
    const entries = pickSome(session.entries, fault, quarter);
    await Promise.all(entries.map(async (entry) => entry.pause(fault.durationMilliseconds)));
  }),
  "entry-stop": defineFault(true, async ({ session }, fault) => {
    const entry = pick(session.entries, fault.choice);
    if (entry !== undefined) await stopAndRestart(entry);
  }),
  "entry-stop-series": defineFault(true, async ({ session }, fault) => {
    const stops = pickSome(session.entries, fault).map(async (entry, index) => {
      await delay(index * seriesGapMilliseconds);
      await stopAndRestart(entry);
    });
    await Promise.all(stops);
  }),
  "entry-reload": defineFault(true, async ({ session }, fault) => {
    await Promise.all(pickSome(session.entries, fault).map(async (entry) => entry.reload()));
  }),
} as const;

/** Changes the faults of the store for the duration of the fault. */
function storeFault(change: (stage: FaultContext, fault: PlannedFault) => () => void): FaultInjector {
  return defineFault(false, async (stage, fault) => {
    const revert = change(stage, fault);
    await delay(fault.durationMilliseconds);
    revert();
  });
}

function linkFault(
  find: (stage: FaultContext, fault: PlannedFault) => readonly TcpProxy[],
  begin: (link: TcpProxy, fault: PlannedFault) => void,
): FaultInjector {
  return defineFault(false, async (stage, fault) => {
    const links = find(stage, fault);
    for (const link of links) begin(link, fault);
    await delay(fault.durationMilliseconds);
    for (const link of links) {
      link.setDelay(0);
      link.setState("open");
    }
  });
}

function storeLinks({ session }: FaultContext, fault: PlannedFault): TcpProxy[] {
  return pickSome(session.entries, fault, 2 * quarter).map(({ storeLink }) => storeLink);
}

function targetLinks({ session }: FaultContext, fault: PlannedFault): TcpProxy[] {
  return pickSome(session.targets.up(), fault, quarter).map(({ link }) => link);
}

const blockOneDirection = (link: TcpProxy, { amount }: PlannedFault): void => {
  const state: LinkState = amount < 2 * quarter ? "no-requests" : "no-answers";
  link.setState(state);
};
const silenceLink = (link: TcpProxy): void => {
  link.setState("silent");
};
const resetConnections = (link: TcpProxy): void => {
  link.resetConnections();
};
const delayLink = (link: TcpProxy, { amount }: PlannedFault): void => {
  link.setDelay(Math.ceil(amount * maximumLinkDelayMilliseconds));
};
const silenceOpenConnections = (link: TcpProxy): void => {
  link.silenceOpenConnections();
};

const storeFaults = {
  "store-slow": storeFault(({ session: { storeFaults: faults } }, { amount }) => {
    faults.delayMilliseconds = Math.ceil(amount * maximumStoreDelayMilliseconds);
    return () => {
      faults.delayMilliseconds = 0;
    };
  }),
  "store-down": storeFault(({ session: { storeFaults: faults } }) => {
    faults.mode = "down";
    return () => {
      faults.mode = "up";
    };
  }),
  "store-refusing": storeFault(({ session: { storeFaults: faults } }) => {
    faults.mode = "refusing";
    return () => {
      faults.mode = "up";
    };
  }),
  "store-lost-answers": storeFault(({ session: { storeFaults: faults } }, { amount }) => {
    faults.loseAnswers = Math.ceil(amount * maximumLostAnswers);
    return () => {
      faults.loseAnswers = 0;
    };
  }),
  "store-late-writes": storeFault(({ session: { storeFaults: faults } }, { amount }) => {
    faults.lateWrites = Math.ceil(amount * maximumLostAnswers);
    return () => {
      faults.lateWrites = 0;
    };
  }),
  "store-forgets": storeFault(({ session: { storeFaults: faults, engine } }) => {
    faults.forgottenRevision = engine.revision();
    return () => {
      faults.forgottenRevision = engine.revision();
    };
  }),
  "store-link-silent": linkFault(storeLinks, silenceLink),
  "store-link-one-way": linkFault(storeLinks, blockOneDirection),
  "store-link-reset": linkFault(storeLinks, resetConnections),
  "store-link-delay": linkFault(storeLinks, delayLink),
  "store-open-connections-silent": linkFault(storeLinks, silenceOpenConnections),
} as const;

async function injectIntoTargets(
  { session }: FaultContext,
  fault: PlannedFault,
  play: (host: TargetHost) => Promise<void>,
): Promise<void> {
  await Promise.all(pickSome(session.targets.up(), fault, quarter).map(play));
}

const targetFaults = {
  "target-restart": defineFault(false, async (stage, fault) =>
    injectIntoTargets(stage, fault, async (host) =>
      stage.session.targets.restart(host, fault.durationMilliseconds * fault.choice),
    ),
  ),
  "target-crash": defineFault(false, async (stage, fault) =>
    injectIntoTargets(stage, fault, async (host) => {
      await stage.session.crashMachine(host, fault.durationMilliseconds);
    }),
  ),
  "target-drain": defineFault(false, async (stage, fault) =>
    injectIntoTargets(stage, fault, async (host) => {
      await stage.session.drainMachine(host, fault.durationMilliseconds);
    }),
  ),
  "target-late-orders": defineFault(false, async (stage, fault) =>
    injectIntoTargets(stage, fault, async ({ faults }) => {
      faults.lateMilliseconds = Math.ceil(fault.choice * maximumOrderDelayMilliseconds);
      await delay(fault.durationMilliseconds);
      faults.lateMilliseconds = 0;
      // Delayed orders are still carried out after the fault has been switched off.
      await delay(maximumOrderDelayMilliseconds);
    }),
  ),
  "target-link-silent": linkFault(targetLinks, silenceLink),
  "target-link-one-way": linkFault(targetLinks, blockOneDirection),
  "target-link-reset": linkFault(targetLinks, resetConnections),
  "target-link-delay": linkFault(targetLinks, delayLink),
  "target-open-connections-silent": linkFault(targetLinks, silenceOpenConnections),
} as const;

const operatorFaults = {
  "configuration-change": defineFault(true, async ({ session }, { amount }) => {
    session.changeConfiguration(Math.floor(amount * maximumExtraQueues));
    return Promise.resolve();
  }),
  "configuration-storm": defineFault(true, async ({ session }, { amount, durationMilliseconds }) => {
    for (let passed = 0; passed < durationMilliseconds; passed += stormGapMilliseconds) {
      session.changeConfiguration(Math.floor(amount * maximumExtraQueues * (passed % 2)));
      await delay(stormGapMilliseconds);
    }
  }),
  wave: defineFault(true, async ({ session }, fault) => {
    session.requestWave({
      wave: session.waves.length + 1,
      machineIds: pickSome(session.machines.list(), fault, 2 * quarter).map(({ machineId }) => machineId),
      durationMilliseconds: 30_000,
      maximumDown: 1 + Math.floor(fault.choice * 3),
    });
    await delay(fault.durationMilliseconds);
  }),
} as const;

const callerFaults = {
  burst: defineFault(true, async ({ submitJobs: handIn }, { amount }) => {
    handIn(Math.ceil(amount * maximumBurst), undefined, false);
    return Promise.resolve();
  }),
  cancellations: defineFault(true, async ({ submitJobs: handIn }, { amount }) => {
    handIn(Math.ceil(amount * maximumCancellations), undefined, true);
    return Promise.resolve();
  }),
  poison: defineFault(true, async ({ submitJobs: handIn }, { amount }) => {
    handIn(Math.ceil(amount * maximumBurst), "poison", false);
    return Promise.resolve();
  }),
} as const;

/** The injectors of all kinds of faults. */
export const faultInjectors: Readonly<Record<FaultName, FaultInjector>> = {
  ...entryFaults,
  ...storeFaults,
  ...targetFaults,
  ...operatorFaults,
  ...callerFaults,
};
