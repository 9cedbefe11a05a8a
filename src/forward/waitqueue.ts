import {LogEvent} from '../telemetry/logevent.js';
import type {Subscription} from '../timer/index.js';
import {backsOff} from './backoff.js';
import type {Endpoint} from './endpoint.js';
import {refusalCauseOf, shortestDelayMs} from './pausewait.js';
import {logPlacement, logRejection} from './placementlog.js';
import {
  compareUrgency,
  ignoresLoad,
  withheldFor,
  withVersionOf,
  type Placement,
  type PlacementRequest,
  type PlacementResult,
  type QueueResult,
} from './placementrequest.js';
import {NotRunCause} from './refusal.js';
import {retryDelayMs} from './retrydelay.js';
import {PlacementRate} from './placementrate.js';
import {WaitCause, type QueueEntry} from './queueentry.js';
import {among, chooseFor, preferredFor} from './upstreamchoice.js';
import type {WaitQueueDependencies} from './waitqueuedependencies.js';

/** Period of placing waiting requests, in ms; a small part of any target. */
const PLACEMENT_PERIOD_MS = 25;
/**
 * Share of a route's mean duration that must be left before the deadline, since
 * some requests end sooner.
 */
const MIN_DURATION_SHARE = 0.6;
/**
 * Time for which a tier counts as waiting after a rejection, in ms. Callers
 * retry within it, and it equals the window of the engines' prefill load.
 */
const REJECTED_DEMAND_MS = 1_000;
/**
 * Share of its target after which a waiting request makes less urgent tiers of
 * all instances yield, while it can still start in time.
 */
const LONG_WAIT_SHARE = 0.2;
/** Share of the time left that a request may wait; the rest is to serve it. */
const MAX_WAIT_SHARE = 0.5;

/** Prefill time above which instances avoid placing on one engine at once. */
const LARGE_PREFILL_MS = 50;
/** Time for which a request counts as demand for permits, in ms. */
const DEMAND_MS = 500;

/** Requests of one service that wait for an upstream. */
export class WaitQueue {
  private readonly entries: QueueEntry[] = [];
  private readonly placementRate = new PlacementRate();
  /** When a request of a tier was last rejected, in monotonic ms. */
  private readonly lastRejectedAt = new Map<number, number>();
  private placementTimer?: Subscription;
  /** When a request was last to be placed, in monotonic ms. */
  private askedAt = -Infinity;

  constructor(private readonly dependencies: WaitQueueDependencies) {}

  get length(): number {
    return this.entries.length;
  }

  /**
   * Number of waiting requests and the tier of the most urgent; undefined if
   * none was to be placed lately.
   */
  demand(): {waiting: number; tier?: number} | undefined {
    const waiting = this.entries.length;
    const isIdle = this.dependencies.timer.now() - this.askedAt > DEMAND_MS;
    if (waiting === 0) return isIdle ? undefined : {waiting};
    const tiers = this.entries.map(({request}) => request.tier);
    return {waiting, tier: Math.min(...tiers)};
  }

  /** Resolves once the request is placed, rejected or aborted. */
  acquire(request: PlacementRequest): Promise<QueueResult> {
    return new Promise(resolve => {
      const entry = this.entryOf(request, resolve);
      const withheld = withheldFor(request);
      if (withheld !== undefined) {
        resolve(withheld);
        return;
      }
      const {speeds} = this.dependencies;
      speeds.observeDemand(request.pauseSensitive, entry.prefillMs);
      const cause = this.tryPlace(entry);
      if (cause !== undefined) this.enqueue(entry, cause);
    });
  }

  /** Places a request on a healthy upstream now, if one accepted takes it. */
  placeNow(
    request: PlacementRequest,
    accepts: (endpoint: Endpoint) => boolean,
  ): Placement | undefined {
    let placement: Placement | undefined;
    if (withheldFor(request) !== undefined) return undefined;
    const entry = this.entryOf(
      among(accepts, request, this.dependencies),
      result => {
        if (result.type === 'placed') placement = result;
      },
    );
    this.tryPlace(entry);
    return placement;
  }

  /** Healthy accepted upstreams for a request, the best first. */
  preferred(
    request: PlacementRequest,
    accepts: (endpoint: Endpoint) => boolean,
    count: number,
  ): Endpoint[] {
    const healthy = among(accepts, request, this.dependencies);
    return preferredFor(healthy, count, this.dependencies);
  }

  private entryOf(
    request: PlacementRequest,
    settle: QueueEntry['settle'],
  ): QueueEntry {
    const enqueuedAt = this.dependencies.timer.now();
    this.askedAt = enqueuedAt;
    const prefillMs = this.minPrefillMs(request);
    return {request, enqueuedAt, prefillMs, settle};
  }

  /** Places waiting requests in order, such as after a request has ended. */
  placeWaiting(): void {
    const now = this.dependencies.timer.now();
    this.entries.sort((a, b) => compareUrgency(a.request, b.request, now));
    let aheadMs = 0;
    for (const entry of [...this.entries]) {
      const {request} = entry;
      const withheld = withheldFor(request);
      if (request.signal.aborted) this.removeAndSettle(entry, {type: 'gone'});
      else if (withheld !== undefined) this.removeAndSettle(entry, withheld);
      else if (this.willMissDeadline(entry, aheadMs, now)) {
        const waitMs = this.estimateWaitMs(aheadMs);
        this.removeAndSettle(
          entry,
          this.reject(entry, NotRunCause.Waited, waitMs),
        );
      } else if (this.keepsWaiting(entry, now)) aheadMs += entry.prefillMs;
    }
  }

  /** Places or refuses a waiting request; returns whether it keeps waiting. */
  private keepsWaiting(entry: QueueEntry, now: number): boolean {
    const cause = this.tryPlace(entry);
    if (cause === undefined) {
      this.remove(entry);
      return false;
    }
    const refusal = this.refusalOfDelay(entry, cause, now);
    if (refusal !== undefined) this.removeAndSettle(entry, refusal);
    return refusal === undefined;
  }

  /** Refuses a request that would wait too long for a pause or a permit. */
  private refusalOfDelay(
    entry: QueueEntry,
    cause: WaitCause,
    now: number,
  ): PlacementResult | undefined {
    const {request} = entry;
    const endpoints = this.endpointsFor(request);
    const delayMs = shortestDelayMs(endpoints, now, request.triedUpstreams);
    const refused = refusalCauseOf(request, cause, delayMs, now);
    if (refused === undefined) return undefined;
    if (refused === NotRunCause.NoVersion) return this.refusalFor(refused);
    return this.reject(entry, refused, delayMs);
  }

  /**
   * The most urgent tier that has a long-waiting or recently rejected request
   * here; `Infinity` if there is none.
   */
  waitingTier(): number {
    const now = this.dependencies.timer.now();
    let tier = Infinity;
    for (const [other, rejectedAt] of this.lastRejectedAt) {
      if (now - rejectedAt < REJECTED_DEMAND_MS) tier = Math.min(tier, other);
    }
    for (const {request, enqueuedAt} of this.entries) {
      if (ignoresLoad(request)) continue;
      if (now - enqueuedAt < request.targetMs * LONG_WAIT_SHARE) continue;
      tier = Math.min(tier, request.tier);
    }
    return tier;
  }

  /** Whether a request is not expected to finish before its deadline. */
  private willMissDeadline(
    {request, prefillMs}: QueueEntry,
    aheadMs: number,
    now: number,
  ): boolean {
    const durationMs =
      this.dependencies.speeds.expectedDurationMs(request.routeName) *
      MIN_DURATION_SHARE;
    const isPastDue = now > request.dueAt && !ignoresLoad(request);
    const waitMs = isPastDue ? this.estimateWaitMs(aheadMs) : 0;
    return now + waitMs + Math.max(prefillMs, durationMs) >= request.deadlineAt;
  }

  /** Whether a more urgent request waits on this or another instance. */
  private isMoreUrgentWaiting(request: PlacementRequest): boolean {
    if (this.dependencies.waitingTierElsewhere() < request.tier) return true;
    if (this.waitingTier() < request.tier) return true;
    return this.entries.some(
      other => !ignoresLoad(other.request) && other.request.tier < request.tier,
    );
  }

  /** Prefill time on the engine that has most of the prompt cached, in ms. */
  private minPrefillMs(request: PlacementRequest): number {
    const {prompt} = request;
    if (prompt === undefined) return 0;
    const {speeds} = this.dependencies;
    const cachedTokens = this.endpointsFor(request).map(
      ({promptCache}) => promptCache?.cachedTokens(prompt) ?? 0,
    );
    const uncachedTokens = prompt.tokens - Math.max(0, ...cachedTokens);
    return Math.max(0, uncachedTokens) / speeds.estimate(1).prefillTokensPerMs;
  }

  /** Tries to place a request; returns why it has to wait. */
  private tryPlace(entry: QueueEntry): WaitCause | undefined {
    const {timer, random} = this.dependencies;
    const {request} = entry;
    const now = timer.now();
    const {decision, endpoint, estimate} = chooseFor(
      request,
      this.isMoreUrgentWaiting(request),
      this.dependencies,
    );
    if (decision.type !== 'chosen') delete entry.backoffUntil;
    if (decision.type === 'paused') return WaitCause.Paused;
    if (decision.type === 'limited') return WaitCause.Limited;
    if (decision.type === 'full') return WaitCause.Full;
    if (decision.type === 'busy') {
      entry.prefillMs = decision.prefillMs;
      return WaitCause.Busy;
    }
    if (decision.type === 'none' || endpoint === undefined) {
      return WaitCause.NoUpstream;
    }
    const {freshTokens} = decision;
    const prefillMs = freshTokens / estimate.prefillTokensPerMs;
    const isLarge = !ignoresLoad(request) && prefillMs > LARGE_PREFILL_MS;
    const others = this.dependencies.fleetSize() - 1;
    if (
      isLarge &&
      this.entries.includes(entry) &&
      backsOff(entry, now, others, random)
    ) {
      return WaitCause.Backoff;
    }
    const remoteLoad = this.dependencies.remoteLoadOf(endpoint.id);
    const target = {endpoint, remoteLoad};
    logPlacement(this.dependencies.logger, entry, decision, target, now);
    if (!ignoresLoad(request)) this.placementRate.add(now, prefillMs);
    // The next placement must see this load even before the request is sent.
    const trial = endpoint.recordPlacement(request, freshTokens, now);
    if (isLarge) this.dependencies.announceLoad();
    entry.settle({
      type: 'placed',
      endpoint,
      freshTokens,
      prefillMs,
      ...(trial === undefined ? {} : {trial}),
    });
    return undefined;
  }

  private endpointsFor(request: PlacementRequest): readonly Endpoint[] {
    return withVersionOf(request, this.dependencies.endpoints());
  }

  /** Estimated time to place `aheadMs` ms of prefill, in ms. */
  private estimateWaitMs(aheadMs: number): number {
    const {timer} = this.dependencies;
    return this.placementRate.estimateWaitMs(aheadMs, timer.now(), {
      engines: this.dependencies.endpoints().length,
      instances: this.dependencies.fleetSize(),
    });
  }

  private enqueue(entry: QueueEntry, cause: WaitCause): void {
    const {logger, timer} = this.dependencies;
    const {request} = entry;
    const now = timer.now();
    const refusal = this.refusalOfDelay(entry, cause, now);
    if (refusal !== undefined) {
      entry.settle(refusal);
      return;
    }
    if (cause === WaitCause.NoUpstream && request.triedUpstreams.size > 0) {
      entry.settle(this.refusalFor(NotRunCause.NoUpstream));
      return;
    }
    const entriesAhead = this.entries.filter(
      other => compareUrgency(other.request, request, now) <= 0,
    );
    const aheadMs = entriesAhead.reduce(
      (sum, other) => sum + other.prefillMs,
      0,
    );
    const waitMs = Math.round(this.estimateWaitMs(aheadMs));
    const leftMs = Math.round(request.deadlineAt - now);
    const exceedsWaitLimit =
      !ignoresLoad(request) && waitMs > leftMs * MAX_WAIT_SHARE;
    if (exceedsWaitLimit || this.willMissDeadline(entry, aheadMs, now)) {
      entry.settle(this.reject(entry, NotRunCause.Overloaded, waitMs));
      return;
    }
    this.entries.push(entry);
    logger.info(
      {
        event: LogEvent.Waits,
        request: request.requestId,
        tier: request.tier,
        cause,
        ahead: entriesAhead.length,
        waitMs,
        leftMs,
      },
      'The request waits for an upstream with capacity.',
    );
    request.signal.addEventListener(
      'abort',
      () => this.removeAndSettle(entry, {type: 'gone'}),
      {once: true},
    );
    this.placementTimer ??= timer.every(PLACEMENT_PERIOD_MS, () =>
      this.placeWaiting(),
    );
  }

  private removeAndSettle(entry: QueueEntry, result: QueueResult): void {
    if (this.remove(entry)) entry.settle(result);
  }

  private remove(entry: QueueEntry): boolean {
    const index = this.entries.indexOf(entry);
    if (index >= 0) this.entries.splice(index, 1);
    if (this.entries.length === 0) {
      this.placementTimer?.end();
      delete this.placementTimer;
    }
    return index >= 0;
  }

  /** Rejects a request that would not finish in time and logs why. */
  private reject(
    entry: QueueEntry,
    cause: NotRunCause,
    waitMs: number,
  ): PlacementResult & {type: 'notRun'} {
    const {timer, logger} = this.dependencies;
    const {request} = entry;
    const now = timer.now();
    const isLoad = cause !== NotRunCause.Paused && !ignoresLoad(request);
    if (isLoad) this.lastRejectedAt.set(request.tier, now);
    const refusal = this.refusalFor(cause);
    logRejection(logger, entry, refusal, waitMs, now);
    return refusal;
  }

  /**
   * A refusal with a jittered Retry-After for the estimated wait, which begins
   * when a pause of all upstreams is over.
   */
  refusalFor(cause: NotRunCause): PlacementResult & {type: 'notRun'} {
    const {random, timer} = this.dependencies;
    const aheadMs = this.entries.reduce(
      (sum, {prefillMs}) => sum + prefillMs,
      0,
    );
    return {
      type: 'notRun',
      cause,
      retryAfterMs: retryDelayMs(
        this.estimateWaitMs(aheadMs),
        shortestDelayMs(this.dependencies.endpoints(), timer.now()),
        random(),
      ),
    };
  }
}
