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

/** Number of tokens over which a decoding step time is averaged. */
const STEP_SAMPLE_TOKENS = 8;
/** Size assumed for an answer that is not streamed. */
const UNSTREAMED_ANSWER_BYTES = 600;

/** Abort reason of an attempt that is preempted by a higher tier. */
export interface PreemptionReason {
  type: 'preempted';
  /** Id of the request that it is preempted for. */
  inFavourOf: string;
}

/** Dependencies of a [[RunningAttempt]]. */
export interface RunningAttemptDependencies {
  timer: Timer;
  recorder: Recorder;
  linkBudgets: LinkBudgets;
  /** Called once, when the attempt has ended. */
  onEnded(attempt: RunningAttempt, end: AttemptEnd): void;
}

/**
 * One attempt in progress. Updates the condition of its upstream (speed,
 * concurrency limit, health, prefix cache) and the byte budget of the link.
 */
export class RunningAttempt implements Placement {
  /** Answer tokens received so far. */
  receivedTokens = 0;
  readonly startedAt: number;
  /** This instance's inflight attempts at the start, this one included. */
  private readonly inflightAtStart: number;
  private readonly controller = new AbortController();
  private readonly pendingStart: PendingPrefill;
  /** Prompt tokens pending for prefill on the upstream at the start. */
  private readonly pendingTokensAtStart: number;
  private firstTokenAt?: number;
  private stepSampledAt = 0;
  private stepSampledTokens = 0;
  private released = false;
  private readonly abortForCaller = () =>
    this.controller.abort(this.callerSignal.reason);

  constructor(
    readonly entry: QueueEntry,
    readonly selection: UpstreamSelection,
    /** Aborts when the caller goes away. */
    private readonly callerSignal: AbortSignal,
    private readonly deps: RunningAttemptDependencies,
  ) {
    const {upstream, cachedTokens} = selection;
    this.startedAt = deps.timer.now();
    this.inflightAtStart = ++upstream.inflight;
    const uncachedTokens = Math.max(0, entry.promptTokens - cachedTokens);
    this.pendingStart = {
      startedAt: this.startedAt,
      uncachedTokens: uncachedTokens,
      prefixKey: prefixKey(entry),
    };
    this.pendingTokensAtStart = upstream.observed.pendingPrefillTokens;
    upstream.observed.startPrefill(this.pendingStart);
    upstream.observed.tierUsage.recordStart(this.priority, this.startedAt);
    if (!this.streamed) this.settleAtExpectedFirstToken();
    if (callerSignal.aborted) this.abortForCaller();
    callerSignal.addEventListener('abort', this.abortForCaller, {once: true});
    this.countLinkBytes(
      'request',
      entry.work.body.length + REQUEST_OVERHEAD_BYTES,
    );
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

  /** Whether the answer is streamed, token by token. */
  get streamed(): boolean {
    const {demand} = this.entry.work;
    return demand.type === 'generation' && demand.stream;
  }

  /** Whether the first token or byte of the answer has arrived. */
  get hasFirstToken(): boolean {
    return this.firstTokenAt !== undefined;
  }

  /** Answer tokens so far; estimated for an answer that is not streamed. */
  get answerTokens(): number {
    if (this.streamed || this.entry.work.demand.type === 'service') {
      return this.receivedTokens;
    }
    const {interTokenMs: stepMs} = this.upstream.observed.latency;
    const elapsedMs = this.deps.timer.now() - this.startedAt;
    const decodingMs = Math.max(0, elapsedMs - this.selection.firstTokenMs);
    return Math.round(decodingMs / stepMs);
  }

  firstToken(): void {
    if (this.firstTokenAt !== undefined) return;
    const now = this.deps.timer.now();
    this.firstTokenAt = now;
    this.stepSampledAt = now;
    this.upstream.observed.endPrefill(this.pendingStart);
    this.upstream.observed.cache.store(this.entry.blocks);
    this.observeLatency(now);
  }

  progress(tokens: number): void {
    this.receivedTokens += tokens;
    this.countLinkBytes('answer', tokens * STREAMED_BYTES_PER_TOKEN);
    const count = this.receivedTokens - this.stepSampledTokens;
    if (count < STEP_SAMPLE_TOKENS) return;
    const now = this.deps.timer.now();
    this.upstream.observed.latency.observeInterToken(
      (now - this.stepSampledAt) / count,
    );
    this.stepSampledAt = now;
    this.stepSampledTokens = this.receivedTokens;
  }

  release(end: AttemptEnd): void {
    if (this.released) return;
    this.released = true;
    this.callerSignal.removeEventListener('abort', this.abortForCaller);
    this.upstream.inflight--;
    const now = this.deps.timer.now();
    this.upstream.observed.endPrefill(this.pendingStart);
    this.upstream.observed.tierUsage.recordEnd(this.priority, now);
    this.observeEnd(end, now);
    if (!this.streamed) this.countLinkBytes('answer', UNSTREAMED_ANSWER_BYTES);
    this.deps.onEnded(this, end);
  }

  /** Stops the attempt in favour of a request of a higher tier. */
  preempt(inFavourOf: string): void {
    const reason: PreemptionReason = {type: 'preempted', inFavourOf};
    this.controller.abort(reason);
  }

  /** Whether the attempt was stopped in favour of another request. */
  get preempted(): boolean {
    const reason = this.controller.signal.reason as
      PreemptionReason | undefined;
    return reason?.type === 'preempted';
  }

  /**
   * Updates speed and concurrency limit from the time to the first token or
   * byte, without network latency.
   */
  private observeLatency(now: number): void {
    const {demand} = this.entry.work;
    const {latency: speed, concurrencyLimit: limit} = this.upstream.observed;
    const latencyMs = now - this.startedAt - 2 * this.selection.route.oneWayMs;
    if (demand.type === 'service') {
      speed.observeServiceCall(latencyMs);
      limit.observeLatency(
        latencyMs,
        speed.interTokenMs,
        this.inflightAtStart,
        now,
      );
      return;
    }
    if (!this.streamed) return;
    const uncachedTokens = this.pendingStart.uncachedTokens;
    speed.observeFirstToken(latencyMs, uncachedTokens);
    const unloadedMs = speed.unloadedFirstTokenMs(
      uncachedTokens + this.pendingTokensAtStart,
    );
    limit.observeLatency(latencyMs, unloadedMs, this.inflightAtStart, now);
  }

  private observeEnd(end: AttemptEnd, now: number): void {
    const {
      health,
      concurrencyLimit: limit,
      latency: speed,
    } = this.upstream.observed;
    switch (end) {
      case AttemptEnd.Completed:
        if (health.addSuccess()) limit.restartSlowStart();
        speed.observeAttempt(now - this.startedAt);
        this.observeReportedQueue(now);
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
   * Adjusts the concurrency limit after an answer that is not streamed. Its
   * latency doesn't show whether it was queued, so the upstream's load report
   * decides.
   */
  private observeReportedQueue(now: number): void {
    if (this.streamed || this.entry.work.demand.type === 'service') return;
    const {concurrencyLimit: limit} = this.upstream.observed;
    if ((this.upstream.load?.waiting ?? 0) > 0) limit.decrease(now);
    else limit.observeLatency(0, 0, this.inflightAtStart, now);
  }

  /**
   * Treats prefill as done at the expected time of the first token, which can't
   * be observed for an answer that is not streamed.
   */
  private settleAtExpectedFirstToken(): void {
    const {timer} = this.deps;
    timer.after(this.selection.firstTokenMs, () => {
      this.upstream.observed.endPrefill(this.pendingStart);
      if (!this.released) {
        this.upstream.observed.cache.store(this.entry.blocks);
      }
    });
  }

  /** Charges bytes to the paid link on the route, if there is one. */
  private countLinkBytes(cause: string, bytes: number): void {
    const {link} = this.selection.route;
    if (link === undefined) return;
    const {work, history} = this.entry;
    this.deps.linkBudgets.spend(link, bytes, this.deps.timer.now());
    const label = history.tried.size > 0 ? `retried ${cause}` : cause;
    this.deps.recorder.recordLinkBytes(link, label, work.workspace.name, bytes);
  }
}
