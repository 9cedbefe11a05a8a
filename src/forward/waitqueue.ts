import {LogEvent} from '../telemetry/logevent.js';
import type {Logger} from 'pino';
import type {Subscription, Timer} from '../timer/index.js';
import {
  chooseUpstream,
  type PlacementQuery,
  type Candidate,
  type PlacementDecision,
} from './placement.js';
import type {Endpoint} from './endpoint.js';
import {NotRunCause} from './refusal.js';
import {SlidingSum} from './slidingsum.js';
import type {SpeedEstimator} from './speedestimator.js';
import {tokensUpTo, type LoadView} from './load.js';

/** How often a line looks for room, in ms; a small part of any target. */
const LOOK_MS = 25;
/** Longest Retry-After that is advised, in ms; a surge may be over by then. */
const RETRY_LIMIT_MS = 2_000;
/** Shortest Retry-After that is advised, in ms; a new connection's time. */
const RETRY_MINIMUM_MS = 50;

/**
 * Share of a kind's usual time that must be left for a request to be sent; some
 * end sooner.
 */
const LASTING_SHARE = 0.6;
/**
 * Time for which a tier that was turned away counts as waiting, in ms. Callers
 * return within it, and the reading of engines is counted over as long.
 */
const TURNED_AWAY_MS = 1_000;
/**
 * Share of its target after which a request has waited for long. Others yield to
 * it from then on, while it can still start in time.
 */
const LONG_WAIT_SHARE = 0.2;
/** Time over which the rate of placing is worked out, in ms; several prompts. */
const RATE_WINDOW_MS = 2_000;
/** Least reading placed a ms that waits are worked out with; bounds them. */
const MINIMUM_RATE = 0.05;
/**
 * Share of the engines' time that is sure to go to prompts that wait; the rest may
 * go to other tiers, or be lost to streams.
 */
const PART_SHARE = 0.5;
/** Share of the time left that a request may wait; its answer takes the rest. */
const WAIT_SHARE = 0.5;

/** Reading from which instances must not take the same room at once, in ms. */
const LARGE_READING_MS = 50;
/**
 * Longest pause before a large prompt takes room that has come up, for each
 * other instance, in ms. About the time that news take between regions.
 */
const BACKOFF_PER_INSTANCE_MS = 12;
/** Bound on that pause, in ms; a small part of the targets of large prompts. */
const BACKOFF_LIMIT_MS = 150;

/** A request that wants an upstream. */
export interface PlacementRequest extends Omit<PlacementQuery, 'yields'> {
  requestId: string;
  /** Requests of a kind last about as long. */
  routeName: string;
  tier: number;
  /** Latest time to start for the objective, in monotonic ms. */
  dueAt: number;
  /** Time after which nobody waits for it, in monotonic ms. */
  deadlineAt: number;
  signal: AbortSignal;
}

/** Where a request goes. */
export interface Placement {
  endpoint: Endpoint;
  /** Prompt tokens that the upstream will have to read. */
  freshTokens: number;
  /** Time that takes, in ms. */
  prefillMs: number;
}

/** What a line gives a request. */
export type PlacementResult =
  | ({type: 'placed'} & Placement)
  | {type: 'notRun'; cause: NotRunCause; retryAfterMs: number}
  | {type: 'gone'};

/** What a [[Line]] needs of the rest of the instance. */
export interface LineParts {
  timer: Timer;
  logger: Logger;
  random: () => number;
  speedEstimator: SpeedEstimator;
  /** The most urgent tier that waits at other instances. */
  waitingTierElsewhere(): number;
  /** Load that other instances have put on an upstream. */
  remoteLoadOf(upstream: string): LoadView & {ageMs: number};
  /** Instances that share the upstreams, this one included. */
  fleetSize(): number;
  /** Tells the others at once of the load that a large prompt puts on. */
  announceLoad(): void;
  /** Upstreams of the service that take new work. */
  endpoints(): readonly Endpoint[];
  /** Way to a zone and back, in ms. */
  roundTripMs(zone: string): number;
}

interface Waiting {
  want: PlacementRequest;
  since: number;
  /** Time to read the prompt, in ms, as far as known. */
  readingMs: number;
  /** When it may take the room that it has seen, in monotonic ms. */
  takeAt?: number;
  settle(place: PlacementResult): void;
}

/** Why a request has to wait. */
enum WaitCause {
  /** Every upstream has as much as it can take. */
  Full = 'full',
  /** No upstream takes work. */
  NoUpstream = 'no_upstream',
  /** Engines have enough to read. */
  Busy = 'busy',
  /** Others may be about to take the room there is. */
  Backoff = 'backoff',
}

/** Requests of one service that wait for an upstream. */
export class WaitQueue {
  private readonly waiting: Waiting[] = [];
  private readonly placedMs = new SlidingSum(RATE_WINDOW_MS);
  /** When a request of a tier was last turned away, in monotonic ms. */
  private readonly turnedAwayAt = new Map<number, number>();
  private tick?: Subscription;

  constructor(private readonly parts: LineParts) {}

  get length(): number {
    return this.waiting.length;
  }

  /** Resolves when the request has an upstream, or won't get one. */
  acquire(want: PlacementRequest): Promise<PlacementResult> {
    return new Promise(resolve => {
      const entry = {
        want,
        since: this.parts.timer.now(),
        readingMs: this.leastReadingMs(want),
        settle: resolve,
      };
      const {speedEstimator: speeds} = this.parts;
      speeds.observeDemand(want.pauseSensitive, entry.readingMs);
      const cause = this.try(entry);
      if (cause !== undefined) this.enqueue(entry, cause);
    });
  }

  /** Looks for room, such as after a request has ended. */
  placeWaiting(): void {
    const now = this.parts.timer.now();
    this.waiting.sort((a, b) => order(a.want, b.want, now));
    let aheadMs = 0;
    for (const entry of [...this.waiting]) {
      const {want} = entry;
      if (want.signal.aborted) this.leave(entry, {type: 'gone'});
      else if (this.isDoomed(entry, aheadMs, now)) {
        const waitMs = this.waitMs(aheadMs);
        this.leave(entry, this.turnAway(entry, NotRunCause.Waited, waitMs));
      } else if (this.try(entry) === undefined) this.remove(entry);
      else aheadMs += entry.readingMs;
    }
  }

  /**
   * The most urgent tier of which a request has waited for long here, or was
   * turned away of late; `Infinity` if there is none.
   */
  waitingTier(): number {
    const now = this.parts.timer.now();
    let tier = Infinity;
    for (const [other, at] of this.turnedAwayAt) {
      if (now - at < TURNED_AWAY_MS) tier = Math.min(tier, other);
    }
    for (const {want, since} of this.waiting) {
      if (isUnbounded(want)) continue;
      if (now - since < want.targetMs * LONG_WAIT_SHARE) continue;
      tier = Math.min(tier, want.tier);
    }
    return tier;
  }

  /** Whether a request can't be answered before its deadline any more. */
  private isDoomed(
    {want, readingMs}: Waiting,
    aheadMs: number,
    now: number,
  ): boolean {
    const lastsMs =
      this.parts.speedEstimator.expectedDurationMs(want.routeName) *
      LASTING_SHARE;
    const isLate = now > want.dueAt && !isUnbounded(want);
    const waitMs = isLate ? this.waitMs(aheadMs) : 0;
    return now + waitMs + Math.max(readingMs, lastsMs) >= want.deadlineAt;
  }

  /** Whether something more urgent needs the engines, here or elsewhere. */
  private yields(want: PlacementRequest): boolean {
    if (this.parts.waitingTierElsewhere() < want.tier) return true;
    if (this.waitingTier() < want.tier) return true;
    return this.waiting.some(
      other => !isUnbounded(other.want) && other.want.tier < want.tier,
    );
  }

  /** Time to read a prompt where most of it is held, in ms. */
  private leastReadingMs({prompt}: PlacementRequest): number {
    if (prompt === undefined) return 0;
    const {speedEstimator: speeds} = this.parts;
    const held = this.parts
      .endpoints()
      .map(({promptCache: cached}) => cached?.cachedTokens(prompt) ?? 0);
    const fresh = prompt.tokens - Math.max(0, ...held);
    return Math.max(0, fresh) / speeds.estimate(1).prefillTokensPerMs;
  }

  /** Places a request; returns why it has to wait. */
  private try(entry: Waiting): WaitCause | undefined {
    const {timer, random, speedEstimator: speeds} = this.parts;
    const {want} = entry;
    const now = timer.now();
    const endpoints = this.parts.endpoints();
    const candidates = endpoints.map(endpoint =>
      this.candidateOf(endpoint, want, now),
    );
    const pace = speeds.estimate(endpoints.length);
    const ask = {...want, yields: this.yields(want)};
    const choice = chooseUpstream(ask, candidates, pace, random);
    if (choice.type !== 'chosen') delete entry.takeAt;
    if (choice.type === 'full') return WaitCause.Full;
    if (choice.type === 'busy') {
      entry.readingMs = choice.prefillMs;
      return WaitCause.Busy;
    }
    const endpoint =
      choice.type === 'none'
        ? undefined
        : endpoints.find(({id}) => id === choice.id);
    if (choice.type === 'none' || endpoint === undefined) {
      return WaitCause.NoUpstream;
    }
    const {freshTokens} = choice;
    const readingMs = freshTokens / pace.prefillTokensPerMs;
    const isLarge = !isUnbounded(want) && readingMs > LARGE_READING_MS;
    if (isLarge && this.backsOff(entry, now)) return WaitCause.Backoff;
    this.record(entry, choice, endpoint, now);
    if (!isUnbounded(want)) this.placedMs.add(now, readingMs);
    // What is placed next must see this load, before anything was sent.
    endpoint.recordPlacement(want, freshTokens, now);
    if (isLarge) this.parts.announceLoad();
    entry.settle({type: 'placed', endpoint, freshTokens, prefillMs: readingMs});
    return undefined;
  }

  /**
   * Whether a large prompt that waits leaves the room it sees alone for now.
   * All instances see room come up at the same time; a random pause lets the
   * first of them tell the others before they take it too.
   */
  private backsOff(entry: Waiting, now: number): boolean {
    if (!this.waiting.includes(entry)) return false;
    const others = this.parts.fleetSize() - 1;
    const pauseMs = Math.min(
      BACKOFF_LIMIT_MS,
      others * BACKOFF_PER_INSTANCE_MS,
    );
    entry.takeAt ??= now + this.parts.random() * pauseMs;
    return now < entry.takeAt;
  }

  private record(
    {want, since}: Waiting,
    choice: PlacementDecision & {type: 'chosen'},
    {ownLoad: own, id}: Endpoint,
    now: number,
  ): void {
    const others = this.parts.remoteLoadOf(id);
    const mine = own.view(now);
    this.parts.logger.info(
      {
        event: LogEvent.Placed,
        request: want.requestId,
        tier: want.tier,
        upstream: choice.id,
        waitedMs: Math.round(now - since),
        costMs: choice.costMs,
        freshTokens: Math.round(choice.freshTokens),
        inflight: [mine.inflight, others.inflight],
        recentTokens: [mine, others].map(({recent}) =>
          Math.round(tokensUpTo(recent, want.tier)),
        ),
        othersAgeMs: Math.round(others.ageMs),
        weighed: choice.candidateCount,
      },
      'Placed the request where it costs least.',
    );
  }

  private candidateOf(
    endpoint: Endpoint,
    {prompt, tier}: PlacementRequest,
    now: number,
  ): Candidate {
    const {health, entry, ownLoad: own, promptCache: cached, id} = endpoint;
    const mine = own.view(now);
    const others = this.parts.remoteLoadOf(id);
    return {
      id,
      slots: entry.slots,
      ownInflight: mine.inflight,
      inflight: mine.inflight + others.inflight,
      pendingPrefillTokens:
        tokensUpTo(mine.unread, tier) + tokensUpTo(others.unread, tier),
      recentPrefillTokens:
        tokensUpTo(mine.recent, tier) + tokensUpTo(others.recent, tier),
      roundTripMs: this.parts.roundTripMs(entry.zone),
      failureShare: health.failureShare,
      ejected: health.isEjected(now),
      full: health.isFull(now),
      cachedTokens:
        prompt === undefined ? 0 : (cached?.cachedTokens(prompt) ?? 0),
    };
  }

  /**
   * Time until so much that waits ahead has been sent, in ms. An instance gets
   * its part of the engines' time at least.
   */
  private waitMs(aheadMs: number): number {
    const {timer} = this.parts;
    const rate = this.placedMs.sum(timer.now()) / this.placedMs.lengthMs;
    const part =
      (this.parts.endpoints().length * PART_SHARE) / this.parts.fleetSize();
    return aheadMs / Math.max(MINIMUM_RATE, part, rate);
  }

  private enqueue(entry: Waiting, cause: WaitCause): void {
    const {logger, timer} = this.parts;
    const {want} = entry;
    if (cause === WaitCause.NoUpstream && want.triedUpstreams.size > 0) {
      entry.settle(this.refusalFor(NotRunCause.NoUpstream));
      return;
    }
    const now = timer.now();
    const ahead = this.waiting.filter(
      other => order(other.want, want, now) <= 0,
    );
    const aheadMs = ahead.reduce((sum, other) => sum + other.readingMs, 0);
    const waitMs = Math.round(this.waitMs(aheadMs));
    const leftMs = Math.round(want.deadlineAt - now);
    const isTooLong = !isUnbounded(want) && waitMs > leftMs * WAIT_SHARE;
    if (isTooLong || this.isDoomed(entry, aheadMs, now)) {
      entry.settle(this.turnAway(entry, NotRunCause.Overloaded, waitMs));
      return;
    }
    this.waiting.push(entry);
    logger.info(
      {
        event: LogEvent.Waits,
        request: want.requestId,
        tier: want.tier,
        cause,
        ahead: ahead.length,
        waitMs,
        leftMs,
      },
      'The request waits for an upstream with room.',
    );
    want.signal.addEventListener(
      'abort',
      () => this.leave(entry, {type: 'gone'}),
      {once: true},
    );
    this.tick ??= timer.every(LOOK_MS, () => this.placeWaiting());
  }

  private leave(entry: Waiting, place: PlacementResult): void {
    if (this.remove(entry)) entry.settle(place);
  }

  private remove(entry: Waiting): boolean {
    const index = this.waiting.indexOf(entry);
    if (index >= 0) this.waiting.splice(index, 1);
    if (this.waiting.length === 0) {
      this.tick?.end();
      delete this.tick;
    }
    return index >= 0;
  }

  /** Refuses a request for which the engines have no time. */
  private turnAway(
    {want, since}: Waiting,
    cause: NotRunCause,
    waitMs: number,
  ): PlacementResult & {type: 'notRun'} {
    const {timer, logger} = this.parts;
    const now = timer.now();
    if (!isUnbounded(want)) this.turnedAwayAt.set(want.tier, now);
    const refusal = this.refusalFor(cause);
    logger.info(
      {
        event: LogEvent.Overloaded,
        request: want.requestId,
        tier: want.tier,
        cause,
        waitedMs: Math.round(now - since),
        waitMs: Math.round(waitMs),
        leftMs: Math.round(want.deadlineAt - now),
        retryAfterMs: Math.round(refusal.retryAfterMs),
      },
      'Refused: the request would not be answered in time.',
    );
    return refusal;
  }

  /** A refusal with the time at which there may be room. */
  refusalFor(cause: NotRunCause): PlacementResult & {type: 'notRun'} {
    const {random} = this.parts;
    const aheadMs = this.waiting.reduce(
      (sum, {readingMs}) => sum + readingMs,
      0,
    );
    const wait = RETRY_MINIMUM_MS + this.waitMs(aheadMs);
    return {
      type: 'notRun',
      cause,
      retryAfterMs: Math.min(RETRY_LIMIT_MS, wait * (1 + random() / 2)),
    };
  }
}

/** Whether the request does not wait for engines to have time. */
function isUnbounded({
  prompt,
  pauseSensitive: sensitive,
  answerStarted: begun,
}: PlacementRequest): boolean {
  return prompt === undefined || sensitive || begun;
}

/**
 * Order of waiting: by tier, then those that can still meet their objective,
 * then by the time they are due.
 */
function order(a: PlacementRequest, b: PlacementRequest, now: number): number {
  if (a.tier !== b.tier) return a.tier - b.tier;
  const [isLate, isOtherLate] = [a.dueAt < now, b.dueAt < now];
  if (isLate !== isOtherLate) return isLate ? 1 : -1;
  return a.dueAt - b.dueAt;
}
