import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createRandom } from "../../shared/index.js";
import { AdmissionQueue, createRunTimes, DeadlineQueue, type QueuedRequest } from "../index.js";

const bucketMilliseconds = 20;

interface Waiting {
  readonly id: number;
  readonly deadlineAt: number;
}

describe("DeadlineQueue", () => {
  it("orders, counts and removes items like a sorted list", () => {
    const steps = fc.array(fc.record({ deadlineAt: fc.nat(2_000), remove: fc.boolean(), pick: fc.nat() }), {
      maxLength: 200,
    });
    const matches = fc.property(steps, (actions) => {
      const queue = new DeadlineQueue<Waiting>();
      let reference: Waiting[] = [];
      for (const [id, { deadlineAt, remove, pick }] of actions.entries()) {
        const removed = reference[pick % Math.max(1, reference.length)];
        if (remove && removed !== undefined) {
          expect(queue.delete(removed)).toBe(true);
          expect(queue.delete(removed)).toBe(false);
          reference = reference.filter((each) => each !== removed);
        } else {
          const item = { id, deadlineAt };
          queue.add(item);
          reference.push(item);
        }
        const bucketOf = (each: { deadlineAt: number }): number =>
          Math.floor(each.deadlineAt / bucketMilliseconds);
        const sorted = [...reference].sort(
          (left, right) => bucketOf(left) - bucketOf(right) || left.id - right.id,
        );
        expect([...queue.items()]).toEqual(sorted);
        expect(queue.first()).toBe(sorted[0]);
        expect(queue.size()).toBe(reference.length);
        const upTo = sorted.filter((each) => bucketOf(each) <= bucketOf({ deadlineAt }));
        expect(queue.countUpTo(deadlineAt)).toBe(upTo.length);
      }
    });
    fc.assert(matches, { seed: 4, numRuns: 60 });
  });
});

describe("run times", () => {
  it("adapts to an operation whose run time changes", () => {
    const runTimes = createRunTimes(() => 5_000);
    for (let index = 0; index < 50; index += 1) runTimes.record("quotes/quote", 100);
    expect(runTimes.mean("quotes/quote")).toBeLessThan(110);
    expect(runTimes.quantile("quotes/quote", 0.5)).toBeLessThan(115);
    for (let index = 0; index < 1_000; index += 1) runTimes.record("quotes/quote", 300);
    expect(runTimes.mean("quotes/quote")).toBeGreaterThan(290);
    expect(runTimes.mean("quotes/other")).toBeGreaterThan(1_000);
  });
});

describe("AdmissionQueue", () => {
  const createQueuedRequest = (team: string, deadlineAt: number): QueuedRequest => ({
    team,
    urgency: "normal",
    operationKey: "quotes/quote",
    arrivedAt: 0,
    deadlineAt,
  });
  const create = (maximumQueued: number): AdmissionQueue<QueuedRequest> =>
    new AdmissionQueue<QueuedRequest>({
      random: createRandom(1),
      runTimes: createRunTimes(() => 100),
      maximumQueued,
      isOverQuota: (team) => team === "over",
    });

  it("limits its length and keeps nothing of removed requests", () => {
    const queue = create(10);
    const queuedRequests = Array.from({ length: 20 }, () => createQueuedRequest("plants", 60_000));
    const admitted = queuedRequests.filter((each) => queue.offer(each, 0, 8).isRight());
    expect(admitted).toHaveLength(10);
    for (const each of admitted) expect(queue.remove(each)).toBe(true);
    expect(queue.size()).toBe(0);
    expect([...queue.inOrder()]).toEqual([]);
  });

  it("counts only requests with a higher priority, and admits fewer when actual waits exceed estimates", () => {
    const queue = create(10_000);
    for (let index = 0; index < 500; index += 1) queue.add(createQueuedRequest("over", 3_000));
    expect(queue.offer(createQueuedRequest("over", 4_000), 0, 8).isLeft()).toBe(true);
    expect(queue.offer(createQueuedRequest("plants", 4_000), 0, 8).isRight()).toBe(true);
    const slow = create(10_000);
    const offers = (): number => {
      let admitted = 0;
      while (slow.offer(createQueuedRequest("plants", 5_000), 0, 8).isRight()) admitted += 1;
      return admitted;
    };
    const before = offers();
    for (const each of [...slow.inOrder()]) slow.start(each, 10_000);
    expect(offers()).toBeLessThan(before * 0.7);
  });
});
