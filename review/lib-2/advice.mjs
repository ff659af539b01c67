/**
 * Stand-in of the advice service: answers after `decide-ms` and `period-ms` for each worker named, one call at a time, with
 * the workers that the policy allows.
 */
import { answer, pause, readJson, serve } from "./http.mjs";

/**
 * Starts the service.
 * @param terms - `decideMs`, `periodMs` and `validMs`
 * @param isAllowed - the policy: whether a worker may run a step
 * @param record - receives a line for each call
 */
export async function startAdvice({ decideMs, periodMs, validMs }, isAllowed, record) {
  let last = Promise.resolve();
  let waiting = 0;
  const server = await serve(async (request, response) => {
    const { step, workers } = (await readJson(request)) ?? {};
    if (!Array.isArray(workers) || workers.length > 100) return answer(response, 400, {});
    if (waiting >= 32) return answer(response, 429, {});
    waiting += 1;
    const turn = last.then(async () => pause(decideMs + periodMs * workers.length));
    last = turn;
    await turn;
    waiting -= 1;
    const allowed = workers.filter((id) => isAllowed(step, id)).map((id) => [id, ticketOf(step, id)]);
    record.write(
      `advise ${step}: asked about ${workers.length} (${workers.join(" ")}), allowed ${allowed.length}`,
    );
    return answer(response, 200, { allowed, "valid-ms": validMs });
  });
  return { address: server.address, close: server.close };
}

/** The ticket of a worker for a step. */
export function ticketOf(step, id) {
  return `${step}-${id}`;
}
