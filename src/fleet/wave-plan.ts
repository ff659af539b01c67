/**
 * Chooses the machines of a wave that are emptied and taken down next. Answers a wave that comes while pools are busy: idle
 * machines in idle pools go first, and no more are emptied than may be down.
 * @packageDocumentation
 */

/** A machine of the wave that still has to be maintained. */
export interface WaveCandidate {
  readonly machineId: string;
  /** Undefined for a machine without a target. */
  readonly targetId: string | undefined;
  readonly pool: string;
  readonly runs: number;
  readonly lastingRuns: number;
  readonly isVacating: boolean;
  /** Machines of the pool that serve its owner, this one among them; infinite for a pool that is off. */
  readonly poolMachines: number;
  /** How long the pool's backlog lasts, in milliseconds. */
  readonly poolBacklogMilliseconds: number;
}

/** What is done next. */
export interface WaveStep {
  /** Machines that nothing runs on any more: their maintenance begins. */
  readonly maintain: readonly WaveCandidate[];
  /** Machines that are emptied, those that were before among them. */
  readonly vacate: readonly WaveCandidate[];
}

/** How urgent the wave is. */
export interface WavePressure {
  /** Machines that may still be taken down now. */
  readonly freeSlots: number;
  /** Share of the wave's time that has passed. */
  readonly elapsedShare: number;
  /** Share of the wave's machines that are done or down. */
  readonly doneShare: number;
}

/** A long-running task has to move first, which takes a while and costs its users something. */
const longRunningRunCost = 2_000;
const runCost = 400;
/** A machine that is being emptied is kept. */
const vacatingBonus = 5_000;
/** At first machines of pools with a longer backlog are left alone. */
const patientBacklogMilliseconds = 300;
/** After this share of its time a wave waits for no pool: the last machines are those that take longest to empty. */
const patientShare = 0.4;

/**
 * Chooses the next step.
 * @param candidates - machines that still have to be maintained and are up
 * @param pressure - how urgent the wave is
 * @returns what is done next
 */
export function planWaveStep(candidates: readonly WaveCandidate[], pressure: WavePressure): WaveStep {
  const isBehind = pressure.elapsedShare > pressure.doneShare;
  const isPatient = !isBehind && pressure.elapsedShare < patientShare;
  const patient = candidates.filter(
    ({ poolBacklogMilliseconds, isVacating, runs }) =>
      !isPatient || isVacating || runs === 0 || poolBacklogMilliseconds <= patientBacklogMilliseconds,
  );
  const ordered = [...patient].sort((left, right) => cost(left) - cost(right));
  const chosen = chooseAcrossPools(ordered, pressure.freeSlots, isBehind);
  // A machine with a target is emptied first, so that nothing is started on it meanwhile.
  const isEmpty = ({ targetId, runs, isVacating }: WaveCandidate): boolean =>
    targetId === undefined || (runs === 0 && isVacating);
  return { maintain: chosen.filter(isEmpty), vacate: chosen.filter((candidate) => !isEmpty(candidate)) };
}

/**
 * Takes the first candidates, but no more than half of a pool's machines at once: the others serve its callers. A wave
 * that is behind leaves only one.
 */
function chooseAcrossPools(
  ordered: readonly WaveCandidate[],
  count: number,
  isBehind: boolean,
): WaveCandidate[] {
  const chosen: WaveCandidate[] = [];
  const taken = new Map<string, number>();
  for (const candidate of ordered) {
    const { pool, poolMachines } = candidate;
    const inPool = taken.get(pool) ?? 0;
    if (chosen.length >= count) break;
    const most = isBehind ? poolMachines - 1 : Math.floor(poolMachines / 2);
    if (inPool >= Math.max(1, most)) continue;
    taken.set(pool, inPool + 1);
    chosen.push(candidate);
  }
  return chosen;
}

function cost({ runs, lastingRuns, isVacating, poolBacklogMilliseconds }: WaveCandidate): number {
  const work = lastingRuns * longRunningRunCost + (runs - lastingRuns) * runCost;
  return work + poolBacklogMilliseconds - (isVacating ? vacatingBonus : 0);
}
