import type {Logger} from 'pino';
import type {LeavingUpstream, RateStatement} from '../fleet/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import type {Timer} from '../timer/index.js';
import type {Endpoint} from './endpoint.js';
import type {Endpoints} from './endpoints.js';
import {Admission, type Trial} from './pause.js';
import type {ResponseHead} from './protocol.js';
import {requestedPause, type RequestedPause} from './retryafter.js';

/** Longest part of an invalid header that is logged, in characters. */
const MAX_LOGGED_LENGTH = 80;

/** Shortest time between two logged invalid rates of an upstream, in ms. */
const INVALID_RATE_LOG_MS = 60_000;

/** From where a notice of an upstream is known. */
enum NoticeSource {
  /** A response to this instance. */
  Answer = 'answer',
  /** Another instance, which had such a response. */
  Peer = 'peer',
}

/** Dependencies of [[ResponseObserver]]. */
export interface ResponseObserverParts {
  endpoints: Endpoints;
  timer: Timer;
  logger: Logger;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Called when the declared rate of an upstream changes. */
  rateChanged(): void;
}

/** Records what upstreams say of themselves in the heads of responses. */
export class ResponseObserver {
  private leaveNotices = 0;
  private pauses = 0;
  private readonly invalidRatesLoggedAt = new WeakMap<Endpoint, number>();

  constructor(private readonly parts: ResponseObserverParts) {}

  /** Gauges and counters of /metrics, by name. */
  gauges(): Record<string, number> {
    const {endpoints, timer} = this.parts;
    const now = timer.now();
    const paused = [...endpoints.all()].filter(
      ({pause}) => pause.admission(now) === Admission.Paused,
    );
    const limited = [...endpoints.all()].filter(
      ({limit}) => limit.perSecond !== undefined,
    );
    return {
      upstreams_leaving: endpoints.countLeaving(),
      leave_notices_total: this.leaveNotices,
      upstreams_paused: paused.length,
      pauses_total: this.pauses,
      upstreams_limited: limited.length,
    };
  }

  /**
   * Handles the head of a response. `trial` is present if its request was sent
   * to show whether a pause is over. Returns whether the upstream asks for one.
   */
  observe(
    endpoint: Endpoint,
    head: ResponseHead & {status: number},
    trial?: Trial,
  ): boolean {
    const {timer} = this.parts;
    if (head.leaving) {
      this.noteLeaving(endpoint, NoticeSource.Answer, head.request);
    }
    this.noteRate(endpoint, head);
    const pause = requestedPause(head.status, head.retryAfter, timer.wallNow());
    if (pause !== undefined) this.beginPause(endpoint, head, pause);
    else if (!head.notRun && trial?.succeed() === true) {
      this.parts.logger.info(
        {event: LogEvent.Pause, upstream: endpoint.id, state: 'ended'},
        'Upstream takes requests again after its pause.',
      );
    }
    return pause?.type === 'pause';
  }

  /** Handles what another instance told of an upstream that leaves. */
  learnLeaving(upstream: LeavingUpstream): void {
    const endpoint = this.parts.endpoints.find(upstream);
    if (endpoint !== undefined) this.noteLeaving(endpoint, NoticeSource.Peer);
  }

  /** Handles what another instance told of the rate that an upstream declares. */
  learnRate([id, startedAt, perSecond, ageMs]: RateStatement): void {
    const {endpoints, timer} = this.parts;
    const endpoint = endpoints.find([id, startedAt]);
    if (endpoint === undefined) return;
    const at = timer.now() - ageMs;
    this.stateRate(endpoint, perSecond ?? undefined, at, NoticeSource.Peer);
  }

  private noteLeaving(
    endpoint: Endpoint,
    source: NoticeSource,
    request?: string,
  ): void {
    const {endpoints, timer, logger} = this.parts;
    const now = timer.now();
    if (!endpoints.noteLeaving(endpoint, now)) return;
    this.leaveNotices++;
    logger.info(
      {
        event: LogEvent.Leaving,
        upstream: endpoint.id,
        source,
        request,
        startedAt: endpoint.entry.startedAt,
        inflight: endpoint.ownLoad.view(now).inflight,
      },
      'Upstream announced that it leaves; it gets no new requests.',
    );
  }

  private noteRate(
    endpoint: Endpoint,
    {rate, request, sealed}: ResponseHead,
  ): void {
    const {timer, logger} = this.parts;
    const now = timer.now();
    if (rate?.type === 'invalid') {
      const loggedAt = this.invalidRatesLoggedAt.get(endpoint) ?? -Infinity;
      if (now - loggedAt < INVALID_RATE_LOG_MS) return;
      this.invalidRatesLoggedAt.set(endpoint, now);
      logger.warn(
        {
          event: LogEvent.Limit,
          upstream: endpoint.id,
          request,
          state: 'ignored',
          reason: rate.text.slice(0, MAX_LOGGED_LENGTH),
        },
        'Ignored an invalid rate that an upstream declares.',
      );
      return;
    }
    // Probes and refusals may be answered by something before the upstream.
    if (rate === undefined && !(sealed && request !== undefined)) return;
    this.stateRate(
      endpoint,
      rate?.perSecond,
      now,
      NoticeSource.Answer,
      request,
    );
  }

  /** Takes over a statement that was made at `at`, in monotonic ms. */
  private stateRate(
    endpoint: Endpoint,
    perSecond: number | undefined,
    at: number,
    source: NoticeSource,
    request?: string,
  ): void {
    const {timer, logger, endpoints} = this.parts;
    const before = endpoint.limit.perSecond;
    if (!endpoint.limit.state(perSecond, at)) return;
    endpoints.keepLimit(endpoint);
    logger.info(
      {
        event: LogEvent.Limit,
        upstream: endpoint.id,
        source,
        request,
        state: 'declared',
        perSecond: perSecond ?? null,
        before: before ?? null,
        inflight: endpoint.ownLoad.view(timer.now()).inflight,
      },
      'Upstream declared the rate of requests that it takes.',
    );
    this.parts.rateChanged();
  }

  private beginPause(
    endpoint: Endpoint,
    {request}: ResponseHead,
    requested: RequestedPause,
  ): void {
    const {endpoints, timer, logger, random} = this.parts;
    const upstream = endpoint.id;
    if (requested.type === 'invalid') {
      logger.warn(
        {
          event: LogEvent.Pause,
          upstream,
          request,
          state: 'ignored',
          reason: requested.value.slice(0, MAX_LOGGED_LENGTH),
        },
        'Ignored an invalid Retry-After of an upstream.',
      );
      return;
    }
    const now = timer.now();
    const {ms, capped} = requested;
    if (!endpoint.pause.begin(now, ms, random())) return;
    endpoints.keepPause(endpoint);
    this.pauses++;
    logger.info(
      {
        event: LogEvent.Pause,
        upstream,
        request,
        state: 'begun',
        pauseMs: Math.round(ms),
        returnMs: Math.round(endpoint.pause.remainingMs(now)),
        capped,
        inflight: endpoint.ownLoad.view(now).inflight,
      },
      'Upstream asked for a pause; it gets no new requests until it is over.',
    );
  }
}
