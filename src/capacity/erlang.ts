/**
 * Waiting in a queue with several servers (M/M/c), by Erlang's formulas.
 * @packageDocumentation
 */

/** What is asked of the queue. */
export interface WaitObjective {
  /** Mean number of busy servers that the arrivals ask for, in erlangs. */
  readonly load: number;
  readonly meanRunSeconds: number;
  /** The longest wait that still ends in time. */
  readonly waitSeconds: number;
  /** Share of requests that must start within the wait, such as 0.999. */
  readonly objective: number;
}

/**
 * Computes the share of requests that wait longer than allowed.
 * @param asked - load and wait
 * @param servers - number of servers
 * @returns a share from 0 to 1; 1 when the servers cannot carry the load
 */
export function lateShare(asked: WaitObjective, servers: number): number {
  const blocking = blockingProbabilities(asked.load, servers).at(-1) ?? 1;
  return lateShareOf(asked, servers, blocking);
}

/**
 * Finds the fewest servers, in whole steps, that keep the objective.
 * @param asked - load, wait and objective
 * @param step - servers that come together, such as the slots of an instance
 * @returns the number of servers, a multiple of the step
 */
export function fewestServers(asked: WaitObjective, step: number): number {
  if (asked.load <= 0) return 0;
  let blocking = 1;
  for (let servers = 1; ; servers += 1) {
    blocking = nextBlocking(blocking, asked.load, servers);
    const isWhole = servers % step === 0;
    if (isWhole && lateShareOf(asked, servers, blocking) <= 1 - asked.objective) return servers;
  }
}

function lateShareOf(asked: WaitObjective, servers: number, blocking: number): number {
  const { load, meanRunSeconds, waitSeconds } = asked;
  if (load <= 0) return 0;
  if (load >= servers) return 1;
  const waitProbability = blocking / (1 - (load / servers) * (1 - blocking));
  return waitProbability * Math.exp((-(servers - load) * waitSeconds) / meanRunSeconds);
}

function blockingProbabilities(load: number, servers: number): number[] {
  const probabilities = [1];
  for (let count = 1; count <= servers; count += 1) {
    probabilities.push(nextBlocking(probabilities[count - 1] ?? 1, load, count));
  }
  return probabilities;
}

function nextBlocking(previous: number, load: number, servers: number): number {
  return (load * previous) / (servers + load * previous);
}
