/**
 * Promises on the responses to callers.
 * @packageDocumentation
 */
import { isFinalState } from "../../jobs/index.js";
import type { RequestRecord } from "../history.js";
import {
  findFinalStateRequest,
  hasSettled,
  isLongRunningJob,
  isSuccess,
  nameTasks,
  type HistoryFacts,
  type JobFacts,
  type SoakPromise,
  type Violation,
} from "./facts.js";
import { hasSucceeded } from "./runs.js";

type Breach = Omit<Violation, "promise">;

const statusGone = 410;
const statusNoQueue = 404;

function createBreach({ jobId, entryId, endedAt, kind }: RequestRecord, detail: string): Breach {
  return { at: endedAt, subjects: [jobId, entryId], detail: `${kind}: ${detail}` };
}

/** Every entry finds an accepted job, as long as no fault is active. */
export const acceptedIsKnown: SoakPromise = {
  name: "accepted-is-known",
  rule: "LOST",
  find: (facts) =>
    facts.jobs.flatMap(({ acceptedAt, cancelRequestedAt, requests }) => {
      if (acceptedAt === undefined || cancelRequestedAt !== undefined) return [];
      const visibleAt = acceptedAt + facts.bounds.visibleMilliseconds;
      return requests
        .filter(({ kind, status, sentAt }) => kind === "state" && status === statusGone && sentAt > visibleAt)
        .filter(({ sentAt, endedAt }) => facts.isCalm(sentAt, endedAt))
        .map((request) => createBreach(request, "an accepted job is not known"));
    }),
};

/** Once traffic and faults have ended, requests for the state of an accepted job succeed. */
export const acceptedIsAnsweredAtTheEnd: SoakPromise = {
  name: "accepted-is-answered-at-the-end",
  rule: "LOST",
  find: ({ jobs, history, bounds }) =>
    jobs.flatMap((facts) => {
      const { job, acceptedAt, cancelRequestedAt } = facts;
      const isJudged = hasSettled(history, bounds, history.endedAt);
      if (!isJudged || acceptedAt === undefined || cancelRequestedAt !== undefined) return [];
      const stateRequests = facts.requests.filter(
        ({ kind, sentAt }) =>
          kind === "state" && sentAt > history.trafficEndedAt + bounds.contactMilliseconds,
      );
      if (findFinalStateRequest(facts) !== undefined || stateRequests.length === 0) return [];
      if (stateRequests.some(({ state }) => state !== undefined)) return [];
      return [
        { at: history.endedAt, subjects: [job.jobId], detail: `no state in ${stateRequests.length} answers` },
      ];
    }),
};

/** Once faults have ended, an accepted job ends, unless it is long-running or waits for free capacity. */
export const acceptedEnds: SoakPromise = {
  name: "accepted-ends",
  rule: "LOST",
  find: (facts) =>
    facts.jobs.flatMap((each) => {
      const { job, acceptedAt, requests } = each;
      if (!hasSettled(facts.history, facts.bounds, facts.history.endedAt)) return [];
      const hasEnded =
        acceptedAt === undefined || isLongRunningJob(job) || findFinalStateRequest(each) !== undefined;
      if (hasEnded || each.cancelConfirmedAt !== undefined || isBusy(facts, each)) return [];
      const state = requests.findLast((request) => request.state !== undefined)?.state ?? "none";
      return [
        { at: facts.history.endedAt, subjects: [job.jobId], detail: `last state ${state}, nothing runs` },
      ];
    }),
};

const idleMilliseconds = 3_000;

/** Returns whether a task of the job ran lately, or its pool lacked the capacity for one. */
function isBusy({ history, runsByTask }: HistoryFacts, { job, acceptedAt = 0 }: JobFacts): boolean {
  const from = Math.max(acceptedAt, history.endedAt - idleMilliseconds);
  const tasks = job.definition.steps.flatMap((step, index) => nameTasks(job.jobId, index, step));
  const runs = tasks.flatMap((task) => runsByTask.get(task) ?? []);
  if (runs.some(({ to }) => to === undefined || to > from)) return true;
  const largest = Math.max(...job.definition.steps.map(({ resources }) => resources.cpuMillicores));
  const samples = history.samples.filter(({ pool, at }) => pool === job.pool && at > from);
  return samples.some(
    ({ usedMillicores, totalMillicores, largestFreeMillicores }) =>
      largestFreeMillicores < 2 * largest || usedMillicores > totalMillicores / 2,
  );
}

/** A job is reported as complete only after each of its tasks has succeeded. */
export const completeIsTrue: SoakPromise = {
  name: "complete-is-true",
  rule: "MIXED",
  find: (facts) =>
    facts.jobs.flatMap(({ job, requests }) => {
      const shown = requests.find(({ state }) => state === "complete");
      if (shown === undefined) return [];
      const tasks = job.definition.steps.flatMap((step, index) => nameTasks(job.jobId, index, step));
      const missing = tasks.filter((task) => !hasSucceeded(facts, task, shown.endedAt));
      return missing.length === 0 ? [] : [createBreach(shown, `complete without ${missing.join(", ")}`)];
    }),
};

/** A job is reported as failed only after a task used up its attempts, and as cancelled only after a cancel request. */
export const endHasCause: SoakPromise = {
  name: "end-has-cause",
  rule: "LOST",
  find: (facts) =>
    facts.jobs.flatMap(({ job, requests, cancelRequestedAt = Number.POSITIVE_INFINITY }) =>
      requests.flatMap((request) => {
        if (request.state === "failed" && !hasUsedItsAttempts(facts, job.jobId, request.endedAt)) {
          return [createBreach(request, "failed, but no task has failed as often as its queue allows")];
        }
        const isUnrequested = request.state === "cancelled" && cancelRequestedAt > request.endedAt;
        return isUnrequested ? [createBreach(request, "cancelled, but nobody asked for it")] : [];
      }),
    ),
};

function hasUsedItsAttempts({ runsByTask, history }: HistoryFacts, jobId: string, at: number): boolean {
  const job = history.jobs.get(jobId);
  if (job === undefined) return false;
  const tasks = job.definition.steps.flatMap((step, index) => nameTasks(jobId, index, step));
  return tasks.some((task) => {
    const runs = runsByTask.get(task) ?? [];
    return runs.filter(({ how, to }) => how === "failed" && (to ?? at) <= at).length >= job.attempts;
  });
}

/** After a response with a final state, all later responses have the same state. */
export const finalStateStays: SoakPromise = {
  name: "final-state-stays",
  rule: "LOST",
  find: ({ jobs }) =>
    jobs.flatMap((facts) => {
      const first = findFinalStateRequest(facts);
      if (first === undefined) return [];
      return facts.requests
        .filter(({ kind, sentAt }) => kind === "state" && sentAt > first.endedAt)
        .filter(
          ({ state, status }) => (state !== undefined && state !== first.state) || status === statusGone,
        )
        .map((request) =>
          createBreach(request, `${request.state ?? request.status} after ${first.state ?? ""}`),
        );
    }),
};

/** While no fault is active, each request gets a response, or its connection is closed, within its deadline. */
export const answeredInTime: SoakPromise = {
  name: "answered-in-time",
  rule: "LOST, Held up",
  find: (facts) =>
    facts.history.requests
      .filter(({ sentAt, endedAt }) => facts.isCalm(sentAt, endedAt))
      .filter(({ end, sentAt, endedAt, deadlineMilliseconds }) => {
        const limit = deadlineMilliseconds + facts.bounds.lossSlackMilliseconds;
        return end === "silent" || endedAt - sentAt > limit;
      })
      .map((request) =>
        createBreach(request, `${request.end} after ${Math.round(request.endedAt - request.sentAt)} ms`),
      ),
};

/** A request that an entry has read before or after the stop signal gets a response within the grace period. */
export const answeredWhileStopping: SoakPromise = {
  name: "answered-while-stopping",
  rule: "LOST",
  find: (facts) => {
    const { history, bounds } = facts;
    const stops = history.processes.filter(({ kind }) => kind === "stop-asked");
    return history.requests.flatMap((request) => {
      const stop = stops.find(
        ({ entryId, at }) =>
          entryId === request.entryId &&
          request.endedAt > at &&
          request.endedAt < at + bounds.graceMilliseconds + 1_000,
      );
      if (stop === undefined || request.end !== "cut") return [];
      const waited = request.endedAt - request.sentAt;
      if (waited <= bounds.lossSlackMilliseconds || !facts.isCalm(request.sentAt, request.endedAt, true))
        return [];
      const after = Math.round(request.endedAt - stop.at);
      return [
        createBreach(
          request,
          `cut ${Math.round(waited)} ms after it was sent, ${after} ms after the stop was asked`,
        ),
      ];
    });
  },
};

/** Requests for a queue that every configuration contains never get "not found". */
export const queuesAreFound: SoakPromise = {
  name: "queues-are-found",
  rule: "CONFIG",
  find: ({ history }) =>
    history.requests
      .filter(({ status }) => status === statusNoQueue)
      .map((request) => createBreach(request, "no such queue, though every configuration has it")),
};

/** After a confirmed cancellation and the visibility time, no entry reports the job as active while no fault is active. */
export const cancellationShows: SoakPromise = {
  name: "cancellation-shows",
  rule: "UNASKED (PROTOCOL, DELETE)",
  find: (facts) =>
    facts.jobs.flatMap(({ requests }) => {
      const cancel = requests.find(({ kind, status }) => kind === "cancel" && isSuccess(status));
      if (cancel === undefined) return [];
      const visibleAt = cancel.endedAt + facts.bounds.visibleMilliseconds;
      return requests
        .filter(({ state }) => state !== undefined && !isFinalState(state))
        .filter(({ sentAt, endedAt }) => sentAt > visibleAt && facts.isCalm(sentAt, endedAt))
        .map((request) => createBreach(request, `${request.state ?? ""} after a confirmed cancellation`));
    }),
};
