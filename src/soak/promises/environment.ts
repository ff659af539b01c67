/**
 * Promises on machines, maintenance waves and the processes of entries.
 * @packageDocumentation
 */
import { groupBy } from "../group-by.js";
import type { MachineRecord } from "../history.js";
import type { SoakPromise } from "./facts.js";

function describeOrder({ kind, holder, fencingToken, wave, pool }: MachineRecord): string {
  return `${kind} ${wave > 0 ? `wave ${wave}` : pool} by ${holder} with token ${fencingToken}`;
}

/** Maintenance of a machine begins only while fewer machines of its wave are down than the wave's maximum. */
export const waveBound: SoakPromise = {
  name: "wave-bound",
  rule: "LIMIT",
  find: ({ history }) =>
    history.machines
      .filter(({ kind }) => kind === "maintain")
      .flatMap((order) => {
        const bound = history.waves.find(({ wave }) => wave === order.wave)?.maximumDown ?? 0;
        const down = history.machines.filter(
          (other) =>
            other !== order &&
            other.kind === "maintain" &&
            other.wave === order.wave &&
            other.from <= order.from &&
            (other.to === undefined || other.to > order.from),
        );
        if (down.length < bound) return [];
        const subjects = [order.machineId, ...down.map(({ machineId }) => machineId)];
        return [
          { at: order.from, subjects, detail: `${describeOrder(order)}: at most ${bound} may be down` },
        ];
      }),
};

/** A wave is reported as complete only after the maintenance of each of its machines has begun. */
export const waveCompleteIsTrue: SoakPromise = {
  name: "wave-complete-is-true",
  rule: "MIXED",
  find: ({ history }) =>
    history.waves.flatMap(({ wave, machineIds, completeAt }) => {
      if (completeAt === undefined) return [];
      const begun = history.machines.filter((order) => order.wave === wave && order.from <= completeAt);
      const missing = machineIds.filter((machineId) => !begun.some((order) => order.machineId === machineId));
      const detail = `wave ${wave} is complete without them`;
      return missing.length === 0 ? [] : [{ at: completeAt, subjects: missing, detail }];
    }),
};

/** Only one holder at a time gives orders to a machine: fencing tokens never decrease, and no two holders share one. */
export const oneHolder: SoakPromise = {
  name: "one-holder",
  rule: "ONE",
  find: ({ history }) =>
    [...groupBy(history.machines, ({ machineId }) => machineId)].flatMap(([machineId, orders]) =>
      orders.flatMap((order, index) => {
        const before = orders[index - 1];
        if (before === undefined || before.fencingToken < order.fencingToken) return [];
        if (before.fencingToken === order.fencingToken && before.holder === order.holder) return [];
        const detail = `${describeOrder(before)}; ${describeOrder(order)}`;
        return [{ at: order.from, subjects: [machineId], detail }];
      }),
    ),
};

/** No process exits unless the soak stopped or killed it. */
export const processesStay: SoakPromise = {
  name: "processes-stay",
  rule: "Fault",
  find: ({ history }) =>
    history.processes
      .filter(({ kind, isExpected }) => kind === "exited" && !isExpected)
      .map(({ at, entryId }) => ({ at, subjects: [entryId], detail: "the process ended by itself" })),
};

/** A process exits within the grace period after the stop signal. */
export const stopsInTime: SoakPromise = {
  name: "stops-in-time",
  rule: "Draining and shutdown",
  find: (facts) =>
    facts.history.processes
      .filter(({ kind }) => kind === "grace-over")
      .filter(({ at }) => facts.isCalm(at - facts.bounds.graceMilliseconds, at, true))
      .map(({ at, entryId }) => ({ at, subjects: [entryId], detail: "it was killed after its grace" })),
};
