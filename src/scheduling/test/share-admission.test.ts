/**
 * Admission of jobs of workspaces that share a pool.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { admitInShare, type JobForecast, type WorkspaceShareStatus } from "../index.js";

const forecast: JobForecast = {
  endMilliseconds: 1_500,
  objectiveMilliseconds: 2_000,
  latestMilliseconds: 6_000,
  startsNow: false,
};
const standing: WorkspaceShareStatus = {
  isOverShare: false,
  waitMilliseconds: 0,
  limitEndMilliseconds: 0,
  chainMilliseconds: 1_000,
  spread: 0,
};
const over = { ...standing, isOverShare: true, waitMilliseconds: 1_700 };

test("a workspace over its share is given what nobody waits for, and no more", () => {
  expect(admitInShare(forecast, standing).kind).toBe("accept");
  expect(admitInShare({ ...forecast, startsNow: true }, over).kind).toBe("accept");
  expect(admitInShare(forecast, over)).toEqual({
    kind: "refuse",
    cause: "share",
    retryAfterMilliseconds: 1_700,
  });
});

test("callers that are refused together for their share come back over some seconds", () => {
  const seconds = Array.from({ length: 100 }, (_, index) => {
    const answer = admitInShare(forecast, { ...over, spread: index / 100 });
    return answer.kind === "refuse" ? Math.ceil(answer.retryAfterMilliseconds / 1_000) : 0;
  });
  const counts = [...new Set(seconds)].map((second) => seconds.filter((each) => each === second).length);
  expect(counts.length).toBeGreaterThanOrEqual(4);
  expect(Math.max(...counts)).toBeLessThanOrEqual(40);
  // No later than the job is worth anything.
  expect(Math.max(...seconds)).toBeLessThanOrEqual(5);
});

test("a job that its cap keeps beyond its objective is refused at once, one that fits is taken", () => {
  expect(admitInShare(forecast, { ...standing, limitEndMilliseconds: 1_900 }).kind).toBe("accept");
  const beyond = admitInShare({ ...forecast, startsNow: true }, { ...standing, limitEndMilliseconds: 2_100 });
  expect(beyond).toMatchObject({ kind: "refuse", cause: "limit" });
  expect(admitInShare({ ...forecast, endMilliseconds: 9_000 }, standing)).toMatchObject({ cause: "backlog" });
});
