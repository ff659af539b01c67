/**
 * The advice that an owner has about its steps, and the choice of what to ask the advice service next.
 * @packageDocumentation
 */
import type { AdviceTiming } from "../jobs/index.js";
import { hasRequiredLabel, hasRoomFor, type StepPlace, type TargetView } from "../scheduling/index.js";
import { delay } from "../shared/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { AdviceRequests } from "./advice-requests.js";
import { AdvisedAccess } from "./step-access.js";

/** A step with tasks that have found no target on which they may start. */
export interface WaitingStep {
  readonly place: StepPlace;
  readonly timing: AdviceTiming | undefined;
  /** The targets that may be used, with the room that the round has left. */
  readonly views: readonly TargetView[];
}

/** Dependencies of the advice of an owner. */
export interface AdviceCacheOptions {
  /** Undefined when the settings name no service, in which case nothing is ever allowed. */
  readonly requests: AdviceRequests | undefined;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly pool: string;
  /** Called when a request has ended, also a failed one. */
  readonly onAdvice: () => void;
}

/** What is known about a step. */
interface KnownStep {
  readonly access: AdvisedAccess;
  isPending: boolean;
  /** When the step last had tasks to place, and when advice was last requested for it, by the monotonic clock. */
  readAt: number;
  requestedAt: number;
  /** Whether it has been logged that no target is allowed. */
  isReportedRefused: boolean;
}

/** A request that a round would like to make. */
interface WantedAdvice {
  readonly place: StepPlace;
  readonly timing: AdviceTiming;
  readonly known: KnownStep;
  readonly candidates: readonly TargetView[];
  /** Whether one of the candidates has room for a task now. */
  readonly hasRoom: boolean;
}

/** Bounds the requests of one owner that wait for the service. */
const maximumPendingRequests = 2;
const maximumTargetsPerRequest = 30;
const retryMilliseconds = 300;
/** What is known about a step is dropped when the step has had no tasks to place for this long. */
const unreadMilliseconds = 30_000;
/** Used where a job's record does not say how long the service takes. */
const assumedTiming: AdviceTiming = { baseMilliseconds: 1_000, perTargetMilliseconds: 30 };

/**
 * The advice that an owner has about its steps. Known refusals stay known, so that the requests of a step go through the
 * whole pool, and a step whose targets have room is asked about before one that only waits for room.
 */
export class AdviceCache {
  readonly #options: AdviceCacheOptions;
  readonly #steps = new Map<string, KnownStep>();
  readonly #wanted: WantedAdvice[] = [];
  #pendingCount = 0;

  /**
   * Creates an empty cache.
   * @param options - the requests to the service and what is told about them
   */
  constructor(options: AdviceCacheOptions) {
    this.#options = options;
  }

  /**
   * Returns on which targets a step may run, as far as it is known.
   * @param stepKey - the step
   * @returns the access, which changes with each response of the service
   */
  access(stepKey: string): AdvisedAccess {
    return this.#read(stepKey).access;
  }

  /**
   * Notes during a round that a step has tasks without a target on which they may start.
   * @param step - the step; requests are sent by {@link AdviceCache.sendRequests}
   */
  want({ place, timing = assumedTiming, views }: WaitingStep): void {
    const known = this.#read(place.stepKey);
    const { access } = known;
    if (known.isPending) return;
    access.forgetAbsent(views);
    const possible = views.filter((view) => hasRequiredLabel(place, view) && !access.isRefused(view));
    if (possible.length === 0) {
      this.#reportRefused(place.stepKey, known, views.length);
      return;
    }
    const unknown = possible.filter((view) => !access.mayStart(view));
    const candidates = chooseCandidates(place, unknown);
    const hasRoom = candidates.some((view) => hasRoomFor(place, view));
    // Without room, one set of tickets is kept valid, so that a task starts as soon as room becomes free.
    const isPrefetch = unknown.length === possible.length;
    if (hasRoom || isPrefetch) this.#wanted.push({ place, timing, known, candidates, hasRoom });
  }

  /** Sends the most useful of the requests that the round would like to make, as far as earlier ones have ended. */
  sendRequests(): void {
    const wanted = this.#wanted.splice(0);
    wanted.sort(compareWanted);
    for (const each of wanted.slice(0, maximumPendingRequests - this.#pendingCount)) void this.#send(each);
    this.#dropUnread();
  }

  async #send({ place, timing, known, candidates }: WantedAdvice): Promise<void> {
    const { requests, log, metrics, pool, onAdvice } = this.#options;
    if (requests === undefined) return;
    known.isPending = true;
    known.requestedAt = performance.now();
    this.#pendingCount += 1;
    const { stepKey } = place;
    const targetIds = candidates.map(({ targetId }) => targetId);
    const answer = await requests.request(stepKey, targetIds, timing);
    const milliseconds = Math.round(performance.now() - known.requestedAt);
    metrics.count("advice_requests_total", { pool, result: answer.isRight() ? "answered" : "failed" });
    answer.caseOf({
      Left: (message) => {
        log.write("warn", "advice-failed", { step: stepKey, asked: targetIds.length, milliseconds, message });
      },
      Right: (advice) => {
        known.access.note(candidates, advice);
        const allowed = advice.tickets.size;
        log.write("info", "advice", { step: stepKey, asked: targetIds.length, allowed, milliseconds });
      },
    });
    if (answer.isLeft()) await delay(retryMilliseconds);
    known.isPending = false;
    this.#pendingCount -= 1;
    onAdvice();
  }

  #read(stepKey: string): KnownStep {
    const now = performance.now();
    const known = this.#steps.get(stepKey) ?? {
      access: new AdvisedAccess(),
      isPending: false,
      readAt: now,
      requestedAt: 0,
      isReportedRefused: false,
    };
    known.readAt = now;
    this.#steps.set(stepKey, known);
    return known;
  }

  #reportRefused(stepKey: string, known: KnownStep, targets: number): void {
    if (known.isReportedRefused || targets === 0) return;
    known.isReportedRefused = true;
    this.#options.log.write("warn", "no-target-allowed", {
      step: stepKey,
      pool: this.#options.pool,
      targets,
    });
  }

  #dropUnread(): void {
    const oldest = performance.now() - unreadMilliseconds;
    for (const [stepKey, { readAt, isPending }] of this.#steps)
      if (readAt < oldest && !isPending) this.#steps.delete(stepKey);
  }
}

/** Targets with room for a task come first, and among these those with the most. */
function chooseCandidates(place: StepPlace, unknown: readonly TargetView[]): TargetView[] {
  const withRoom = unknown.filter((view) => hasRoomFor(place, view));
  const full = unknown.filter((view) => !hasRoomFor(place, view));
  return [...byFreeRoom(withRoom), ...byFreeRoom(full)].slice(0, maximumTargetsPerRequest);
}

function byFreeRoom(views: readonly TargetView[]): TargetView[] {
  return [...views].sort((left, right) => right.free.cpuMillicores - left.free.cpuMillicores);
}

/** Requests that may lead to a start come first, in the order of the round; the others take turns. */
function compareWanted(left: WantedAdvice, right: WantedAdvice): number {
  if (left.hasRoom !== right.hasRoom) return left.hasRoom ? -1 : 1;
  return left.hasRoom ? 0 : left.known.requestedAt - right.known.requestedAt;
}
