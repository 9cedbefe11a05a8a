import type {Logger} from 'pino';
import type {Subscription, Timer} from '../timer/index.js';
import {choose, type Ask, type Candidate, type Choice} from './choice.js';
import type {Endpoint} from './endpoint.js';
import {NotRunCause} from './refusal.js';
import type {Speeds} from './speeds.js';

/** How often a line looks for room if nothing else wakes it, in ms. */
const LOOK_MS = 25;
/** Longest Retry-After that is advised, in ms. */
const RETRY_LIMIT_MS = 2_000;
/** Shortest Retry-After that is advised, in ms. */
const RETRY_MINIMUM_MS = 50;

/** A request that wants an upstream. */
export interface Want extends Ask {
  request: string;
  tier: number;
  /** Latest time to start for the objective, in monotonic ms. */
  dueAt: number;
  /** Time after which nobody waits for it, in monotonic ms. */
  deadlineAt: number;
  signal: AbortSignal;
}

/** What a line gives a request. */
export type Place =
  | {type: 'placed'; endpoint: Endpoint; freshTokens: number}
  | {type: 'notRun'; cause: NotRunCause; retryAfterMs: number}
  | {type: 'gone'};

/** What a [[Line]] needs of the rest of the instance. */
export interface LineParts {
  timer: Timer;
  logger: Logger;
  random: () => number;
  speeds: Speeds;
  /** Upstreams of the service that take new work. */
  endpoints(): readonly Endpoint[];
  /** Way to a zone and back, in ms. */
  roundTripMs(zone: string): number;
}

interface Waiting {
  want: Want;
  since: number;
  settle(place: Place): void;
}

/** Requests of one service that wait for an upstream. */
export class Line {
  private readonly waiting: Waiting[] = [];
  private tick?: Subscription;

  constructor(private readonly parts: LineParts) {}

  get length(): number {
    return this.waiting.length;
  }

  /** Resolves when the request has an upstream, or won't get one. */
  acquire(want: Want): Promise<Place> {
    return new Promise(resolve => {
      const entry = {want, since: this.parts.timer.now(), settle: resolve};
      const choice = this.try(entry);
      if (choice !== undefined) this.enqueue(entry, choice);
    });
  }

  /** Looks for room, such as after a request has ended. */
  look(): void {
    const now = this.parts.timer.now();
    for (const entry of [...this.waiting]) {
      const {want} = entry;
      if (want.signal.aborted) this.leave(entry, {type: 'gone'});
      else if (now >= want.deadlineAt) {
        this.leave(entry, this.refusal(NotRunCause.Waited));
      } else if (this.try(entry) === undefined) {
        this.remove(entry);
      }
    }
  }

  /** Places a request; returns why it can't be placed. */
  private try(entry: Waiting): Choice | undefined {
    const {timer, logger, random, speeds} = this.parts;
    const {want, since} = entry;
    const now = timer.now();
    const endpoints = this.parts.endpoints();
    const candidates = endpoints.map(endpoint =>
      this.candidateOf(endpoint, want, now),
    );
    const pace = speeds.pace(endpoints.length);
    const choice = choose(want, candidates, pace, random);
    if (choice.type !== 'chosen') return choice;
    const endpoint = endpoints.find(({id}) => id === choice.id);
    if (endpoint === undefined) return {type: 'none'};
    logger.info(
      {
        event: 'placed',
        request: want.request,
        upstream: choice.id,
        waitedMs: Math.round(now - since),
        costMs: choice.costMs,
        freshTokens: Math.round(choice.freshTokens),
        inflight: endpoint.inflight,
        weighed: choice.weighed,
        others: endpoint.others?.running,
        othersAgeMs: Math.round(now - (endpoint.others?.at ?? now)),
      },
      'Placed the request where it costs least.',
    );
    speeds.asked(want.sensitive, choice.freshTokens);
    entry.settle({type: 'placed', endpoint, freshTokens: choice.freshTokens});
    return undefined;
  }

  private candidateOf(
    endpoint: Endpoint,
    {prompt}: Want,
    now: number,
  ): Candidate {
    const {health, entry, inflight, prefillTokens, others, cached} = endpoint;
    return {
      id: endpoint.id,
      slots: entry.slots,
      inflight,
      prefillTokens,
      ...(others === undefined
        ? {}
        : {others: {...others, ageMs: now - others.at}}),
      roundTripMs: this.parts.roundTripMs(entry.zone),
      failing: health.failing,
      out: health.isOut(now),
      full: health.isFull(now),
      heldTokens: prompt === undefined ? 0 : (cached?.heldTokens(prompt) ?? 0),
    };
  }

  private enqueue(entry: Waiting, choice: Choice): void {
    const {logger, timer} = this.parts;
    const {want} = entry;
    if (choice.type === 'none' && want.tried.size > 0) {
      entry.settle(this.refusal(NotRunCause.NoUpstream));
      return;
    }
    const at = this.waiting.findIndex(other => isBefore(want, other.want));
    this.waiting.splice(at < 0 ? this.waiting.length : at, 0, entry);
    logger.info(
      {
        event: 'waits',
        request: want.request,
        reason: choice.type,
        ahead: at < 0 ? this.waiting.length - 1 : at,
      },
      'The request waits for an upstream with room.',
    );
    want.signal.addEventListener(
      'abort',
      () => this.leave(entry, {type: 'gone'}),
      {once: true},
    );
    this.tick ??= timer.every(LOOK_MS, () => this.look());
  }

  private leave(entry: Waiting, place: Place): void {
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

  /** A refusal with the time at which there may be room. */
  refusal(cause: NotRunCause): Place & {type: 'notRun'} {
    const {speeds, random} = this.parts;
    const aheadMs = this.waiting.length * speeds.pace(1).serviceMs;
    const wait = Math.min(RETRY_LIMIT_MS, RETRY_MINIMUM_MS + aheadMs);
    return {type: 'notRun', cause, retryAfterMs: wait * (1 + random() / 2)};
  }
}

/** Order of waiting: by tier, then by latest start. */
function isBefore(a: Want, b: Want): boolean {
  return a.tier === b.tier ? a.dueAt < b.dueAt : a.tier < b.tier;
}
