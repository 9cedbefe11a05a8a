import {AttemptEnd, type Placement} from '../request/index.js';
import type {Recorder} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import type {PendingPrefill} from '../upstream/index.js';
import type {LinkBudgets} from '../zone/index.js';
import {
  STREAMED_BYTES_PER_TOKEN,
  REQUEST_OVERHEAD_BYTES,
  type UpstreamSelection,
} from './upstreamselector.js';
import {prefixKey, tierOf, type QueueEntry} from './queueentry.js';

/** Tokens over which the time between tokens is averaged. */
const STEP_SAMPLE_TOKENS = 8;
/** Bytes counted for a whole answer that is not streamed. */
const WHOLE_ANSWER_BYTES = 600;

/** Reason of an abort by which an attempt makes way for a higher tier. */
export interface Preemption {
  type: 'preempted';
  /** Id of the request it makes way for. */
  inFavourOf: string;
}

/** What a running attempt needs of the scheduler. */
export interface RunningParts {
  timer: Timer;
  recorder: Recorder;
  budgets: LinkBudgets;
  /** Called once when the attempt has ended. */
  ended(running: RunningAttempt, end: AttemptEnd): void;
}

/** One attempt in progress, and what is learnt from it. */
export class RunningAttempt implements Placement {
  /** Tokens received so far. */
  tokens = 0;
  readonly startedAt: number;
  /** Inflight attempts on the upstream at the start, this one included. */
  private readonly inflightAtStart: number;
  private readonly controller = new AbortController();
  private readonly pending: PendingPrefill;
  /** Prompt tokens of own attempts to be computed before this one's. */
  private readonly tokensAhead: number;
  private firstTokenAt?: number;
  private sampledAt = 0;
  private sampledTokens = 0;
  private released = false;
  private readonly abandon = () => this.controller.abort(this.outer.reason);

  constructor(
    readonly entry: QueueEntry,
    readonly selection: UpstreamSelection,
    /** Aborts when the caller goes away. */
    private readonly outer: AbortSignal,
    private readonly parts: RunningParts,
  ) {
    const {upstream, cachedTokens} = selection;
    this.startedAt = parts.timer.now();
    this.inflightAtStart = ++upstream.inflight;
    const computed = Math.max(0, entry.promptTokens - cachedTokens);
    this.pending = {
      startedAt: this.startedAt,
      uncachedTokens: computed,
      prefixKey: prefixKey(entry),
    };
    this.tokensAhead = upstream.observed.pendingPrefillTokens;
    upstream.observed.startPrefill(this.pending);
    upstream.observed.tierUsage.recordStart(this.priority, this.startedAt);
    if (!this.streamed) this.settleWhenExpected();
    if (outer.aborted) this.abandon();
    outer.addEventListener('abort', this.abandon, {once: true});
    this.account('request', entry.work.body.length + REQUEST_OVERHEAD_BYTES);
  }

  get upstream() {
    return this.selection.upstream;
  }

  get priority(): number {
    return tierOf(this.entry);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether the answer arrives token by token. */
  get streamed(): boolean {
    const {demand} = this.entry.work;
    return demand.type === 'generation' && demand.stream;
  }

  /** Whether any of the answer has arrived. */
  get hasFirstToken(): boolean {
    return this.firstTokenAt !== undefined;
  }

  /** Tokens generated so far; estimated where they are not seen. */
  get answerTokens(): number {
    if (this.streamed || this.entry.work.demand.type === 'service') {
      return this.tokens;
    }
    const {interTokenMs: stepMs} = this.upstream.observed.latency;
    const elapsedMs = this.parts.timer.now() - this.startedAt;
    const decodingMs = Math.max(0, elapsedMs - this.selection.firstTokenMs);
    return Math.round(decodingMs / stepMs);
  }

  firstToken(): void {
    if (this.firstTokenAt !== undefined) return;
    const now = this.parts.timer.now();
    this.firstTokenAt = now;
    this.sampledAt = now;
    this.upstream.observed.endPrefill(this.pending);
    this.upstream.observed.cache.store(this.entry.blocks);
    this.learnLatency(now);
  }

  progress(tokens: number): void {
    this.tokens += tokens;
    this.account('answer', tokens * STREAMED_BYTES_PER_TOKEN);
    const count = this.tokens - this.sampledTokens;
    if (count < STEP_SAMPLE_TOKENS) return;
    const now = this.parts.timer.now();
    this.upstream.observed.latency.observeInterToken(
      (now - this.sampledAt) / count,
    );
    this.sampledAt = now;
    this.sampledTokens = this.tokens;
  }

  release(end: AttemptEnd): void {
    if (this.released) return;
    this.released = true;
    this.outer.removeEventListener('abort', this.abandon);
    this.upstream.inflight--;
    const now = this.parts.timer.now();
    this.upstream.observed.endPrefill(this.pending);
    this.upstream.observed.tierUsage.recordEnd(this.priority, now);
    this.learnEnd(end, now);
    if (!this.streamed) this.account('answer', WHOLE_ANSWER_BYTES);
    this.parts.ended(this, end);
  }

  /** Stops the attempt in favour of a request of a higher tier. */
  preempt(inFavourOf: string): void {
    const reason: Preemption = {type: 'preempted', inFavourOf};
    this.controller.abort(reason);
  }

  /** Whether the attempt was stopped in favour of another request. */
  get preempted(): boolean {
    const reason = this.controller.signal.reason as Preemption | undefined;
    return reason?.type === 'preempted';
  }

  private learnLatency(now: number): void {
    const {demand} = this.entry.work;
    const {latency: speed, concurrencyLimit: limit} = this.upstream.observed;
    const ms = now - this.startedAt - 2 * this.selection.route.oneWayMs;
    if (demand.type === 'service') {
      speed.observeServiceCall(ms);
      limit.observeLatency(ms, speed.interTokenMs, this.inflightAtStart, now);
      return;
    }
    if (!this.streamed) return;
    const computed = this.pending.uncachedTokens;
    speed.observeFirstToken(ms, computed);
    const unloadedMs = speed.unloadedFirstTokenMs(computed + this.tokensAhead);
    limit.observeLatency(ms, unloadedMs, this.inflightAtStart, now);
  }

  private learnEnd(end: AttemptEnd, now: number): void {
    const {
      health,
      concurrencyLimit: limit,
      latency: speed,
    } = this.upstream.observed;
    switch (end) {
      case AttemptEnd.Completed:
        if (health.addSuccess()) limit.restartSlowStart();
        speed.observeAttempt(now - this.startedAt);
        this.learnQueue(now);
        break;
      case AttemptEnd.Broken:
      case AttemptEnd.Silent:
        health.addFailure(now);
        limit.decrease(now);
        break;
      case AttemptEnd.Refused:
        limit.decrease(now);
        break;
      case AttemptEnd.Cancelled:
        break;
    }
  }

  /**
   * Lets the limit follow answers that are not streamed. Their latency does
   * not tell of a queue, so the upstream's report has to.
   */
  private learnQueue(now: number): void {
    if (this.streamed || this.entry.work.demand.type === 'service') return;
    const {concurrencyLimit: limit} = this.upstream.observed;
    if ((this.upstream.load?.waiting ?? 0) > 0) limit.decrease(now);
    else limit.observeLatency(0, 0, this.inflightAtStart, now);
  }

  /** The first token of an answer that is not streamed is never seen. */
  private settleWhenExpected(): void {
    const {timer} = this.parts;
    timer.after(this.selection.firstTokenMs, () => {
      this.upstream.observed.endPrefill(this.pending);
      if (!this.released) {
        this.upstream.observed.cache.store(this.entry.blocks);
      }
    });
  }

  private account(cause: string, bytes: number): void {
    const {link} = this.selection.route;
    if (link === undefined) return;
    const {work, history} = this.entry;
    this.parts.budgets.spend(link, bytes, this.parts.timer.now());
    const label = history.tried.size > 0 ? `retried ${cause}` : cause;
    this.parts.recorder.recordLinkBytes(
      link,
      label,
      work.workspace.name,
      bytes,
    );
  }
}
