/**
 * Collects the entries' counts of ended requests, so that the holder of a leader role can compute each service's
 * availability budget.
 * @packageDocumentation
 */
import * as z from "zod";
import type { OperatorConfiguration } from "../configuration/index.js";
import type { EndedRequest } from "../ingress/index.js";
import { definePeerCall, type PeerNetwork } from "../membership/index.js";
import {
  addCounts,
  computeBudget,
  createBudgetWindow,
  isGoodOutcome,
  type BudgetState,
  type BudgetWindow,
  type WindowCounts,
} from "./availability-budget.js";

const countsSchema = z.object({ good: z.int(), bad: z.int() });

/** Fetches a peer's request counts of each service. */
export const fetchBudgetCounts = definePeerCall(
  "maintenance.budget-counts",
  z.object({}),
  z.object({ services: z.record(z.string(), z.object({ window: countsSchema, recent: countsSchema })) }),
);

/** The budgets of all services. */
export interface AvailabilityBudgets {
  /** Counts an ended request of this entry. */
  record(ended: EndedRequest): void;
  /** Fetches the counts of all reachable peers; the holder of a leader role calls it periodically. */
  refresh(): Promise<void>;
  /**
   * Computes a service's budget from the counts of all entries.
   * @param service - name of the service
   * @returns the budget; undefined when the service is not configured, or a reachable peer's counts are missing or
   * too old
   */
  read(service: string): BudgetState | undefined;
}

/** Dependencies of the availability budgets. */
export interface AvailabilityBudgetsParts {
  readonly peers: PeerNetwork;
  /** Returns the configuration in force; undefined before the first. */
  readonly text: () => OperatorConfiguration | undefined;
  /** Returns the time in milliseconds since the epoch. */
  readonly now: () => number;
}

type ServiceCounts = Readonly<Record<string, WindowCounts>>;

const fetchTimeoutMilliseconds = 1_000;
/** Age from which a peer's counts are too old to reflect its current traffic; the budgets are then unknown. */
const maximumAgeMilliseconds = 10_000;
const zeroCounts: WindowCounts = { window: { good: 0, bad: 0 }, recent: { good: 0, bad: 0 } };

/**
 * Creates the budgets and registers the handler for peers that fetch this entry's counts.
 * @param parts - peers, configuration and clock
 * @returns the budgets, without counts
 */
export function createAvailabilityBudgets(parts: AvailabilityBudgetsParts): AvailabilityBudgets {
  const { peers, text: configuration, now } = parts;
  const ownWindows = new Map<string, { readonly windowSeconds: number; readonly window: BudgetWindow }>();
  const peerCounts = new Map<string, { readonly receivedAt: number; readonly services: ServiceCounts }>();

  const serviceOf = (name: string): OperatorConfiguration["services"][number] | undefined =>
    configuration()?.services.find((service) => service.name === name);

  const windowOf = (name: string, windowSeconds: number): BudgetWindow => {
    const existing = ownWindows.get(name);
    if (existing?.windowSeconds === windowSeconds) return existing.window;
    const window = createBudgetWindow(windowSeconds, now);
    ownWindows.set(name, { windowSeconds, window });
    return window;
  };

  peers.answer(fetchBudgetCounts, () => ({
    services: Object.fromEntries([...ownWindows].map(([name, { window }]) => [name, window.counts()])),
  }));

  const fetchFrom = async (peerId: string): Promise<void> => {
    const reply = await peers.call(peerId, fetchBudgetCounts, {}, fetchTimeoutMilliseconds);
    reply.ifRight(({ services }) => {
      peerCounts.set(peerId, { receivedAt: now(), services });
    });
  };

  const isComplete = (): boolean =>
    peers
      .upPeers()
      .every((peerId) => now() - (peerCounts.get(peerId)?.receivedAt ?? 0) <= maximumAgeMilliseconds);

  return {
    record: ({ service: name, outcome, milliseconds }) => {
      const service = serviceOf(name);
      if (service === undefined) return;
      const isGood = isGoodOutcome(outcome, milliseconds, service.deadlineMilliseconds);
      windowOf(name, service.availability.windowSeconds).record(isGood);
    },
    refresh: async () => {
      await Promise.all(peers.upPeers().map(fetchFrom));
    },
    read: (name) => {
      const service = serviceOf(name);
      if (service === undefined || !isComplete()) return undefined;
      const { objective, windowSeconds } = service.availability;
      // The last counts of an entry that stopped still apply until they are older than the window.
      const reported = [...peerCounts.values()]
        .filter(({ receivedAt }) => now() - receivedAt <= windowSeconds * 1_000)
        .map(({ services }) => services[name] ?? zeroCounts);
      const counts = [windowOf(name, windowSeconds).counts(), ...reported].reduce((sum, each) => ({
        window: addCounts(sum.window, each.window),
        recent: addCounts(sum.recent, each.recent),
      }));
      return computeBudget(counts, objective);
    },
  };
}
