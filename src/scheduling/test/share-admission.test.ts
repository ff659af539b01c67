/**
 * Tests the admission of jobs in a pool that workspaces share.
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
const status: WorkspaceShareStatus = {
  isOverShare: false,
  waitMilliseconds: 0,
  limitEndMilliseconds: 0,
  chainMilliseconds: 1_000,
  spread: 0,
};
const over = { ...status, isOverShare: true, waitMilliseconds: 1_700 };

test("a job of a workspace over its share is only accepted when it can start now", () => {
  expect(admitInShare(forecast, status).kind).toBe("accept");
  expect(admitInShare({ ...forecast, startsNow: true }, over).kind).toBe("accept");
  expect(admitInShare(forecast, over)).toEqual({
    kind: "refuse",
    cause: "share",
    retryAfterMilliseconds: 1_700,
  });
});

test("the retry times of jobs refused together for their share are spread over some seconds", () => {
  const seconds = Array.from({ length: 100 }, (_, index) => {
    const admission = admitInShare(forecast, { ...over, spread: index / 100 });
    return admission.kind === "refuse" ? Math.ceil(admission.retryAfterMilliseconds / 1_000) : 0;
  });
  const counts = [...new Set(seconds)].map((second) => seconds.filter((each) => each === second).length);
  expect(counts.length).toBeGreaterThanOrEqual(4);
  expect(Math.max(...counts)).toBeLessThanOrEqual(40);
  // No retry comes after the job has lost its value.
  expect(Math.max(...seconds)).toBeLessThanOrEqual(5);
});

test("a job that its workspace's limit delays beyond its objective is refused, and one within it is accepted", () => {
  expect(admitInShare(forecast, { ...status, limitEndMilliseconds: 1_900 }).kind).toBe("accept");
  const beyond = admitInShare({ ...forecast, startsNow: true }, { ...status, limitEndMilliseconds: 2_100 });
  expect(beyond).toMatchObject({ kind: "refuse", cause: "limit" });
  expect(admitInShare({ ...forecast, endMilliseconds: 9_000 }, status)).toMatchObject({ cause: "backlog" });
});
