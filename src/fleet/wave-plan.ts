/**
 * Chooses the machines of a maintenance wave that are emptied and taken down next. Pools may be busy during a wave, so idle
 * machines of idle pools come first, and no more machines are emptied than may be down at once.
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
  /** Number of serving machines of the pool, including this one; infinite for a standby pool. */
  readonly poolMachines: number;
  /** Time that the pool needs to work off its backlog, in milliseconds. */
  readonly poolBacklogMilliseconds: number;
}

/** The next step of a wave. */
export interface WaveStep {
  /** Empty machines, whose maintenance can begin now. */
  readonly maintain: readonly WaveCandidate[];
  /** Machines to empty, including those that are being emptied already. */
  readonly vacate: readonly WaveCandidate[];
}

/** The limit and the progress of a wave, which decide how urgent it is. */
export interface WavePressure {
  /** Number of further machines that may be taken down now. */
  readonly freeSlots: number;
  /** Share of the wave's usable time that has passed; above 1 when the wave is late. */
  readonly elapsedShare: number;
  /** Share of the wave's machines that are done or down, from 0 to 1. */
  readonly doneShare: number;
}

/** Cost of a long-running task: it has to move first, which takes time and interrupts its users. */
const longRunningRunCost = 2_000;
/** Cost of a short task, in the same unit as a millisecond of backlog. */
const runCost = 400;
/** Advantage of a machine that is being emptied already, so that the choice does not change from step to step. */
const vacatingBonus = 5_000;
/** Early in a wave, busy machines of pools with a longer backlog are not chosen. */
const patientBacklogMilliseconds = 300;
/**
 * After this share of its time, a wave no longer spares pools with a backlog: the machines that are left are those that take
 * longest to empty.
 */
const patientShare = 0.4;

/**
 * Chooses the next step of a wave.
 * @param candidates - machines that are up and still have to be maintained
 * @param pressure - the limit and the progress of the wave
 * @returns the machines to maintain and those to empty, together no more than the free slots
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
  // An idle machine with a target is emptied first too, so that no task starts on it before it is taken down.
  const isEmpty = ({ targetId, runs, isVacating }: WaveCandidate): boolean =>
    targetId === undefined || (runs === 0 && isVacating);
  return { maintain: chosen.filter(isEmpty), vacate: chosen.filter((candidate) => !isEmpty(candidate)) };
}

/**
 * Takes the first candidates, but at most half of a pool's machines at once, so that the others can serve its callers. A wave
 * that is behind schedule leaves only one machine of each pool. At least one machine of a pool may always be taken.
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
