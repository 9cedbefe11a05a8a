import {processAt} from '../registry/index.js';
import {Path} from '../relay/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import type {Subscription} from '../timer/index.js';
import type {AttemptResult} from './attemptresult.js';
import {recordOverdue, recordSilence} from './attempthealth.js';
import type {ForwardDependencies} from './dependencies.js';
import type {HoldCheck} from './holdcheck.js';
import {
  withheldFor,
  type Placement,
  type PlacementRequest,
  type PlacementResult,
  type QueueResult,
} from './placementrequest.js';
import {RationedPlacement} from './rationedplacement.js';
import {placementRequestOf, type RequestContext} from './requestcontext.js';
import {isSuccess, type AttemptTally} from './attempttally.js';
import {decideReplacement, Retry} from './retry.js';
import {RunningAttempt} from './runningattempt.js';
import {isCharged, RepeatCause} from './repeatcause.js';
import type {StreamSink} from './sink.js';
import {Successors} from './successors.js';
import {Silence} from './watchdog.js';

/**
 * Longest time for which a request is sent to two upstreams, in ms. An upstream
 * that can't take it refuses it sooner, even in another region.
 */
const MAX_OVERLAP_MS = 250;

/** Time from the first attempt on after which a repeat is late, in ms. */
const LATE_REPEAT_MS = 150;

/** Why a silent upstream keeps a request. */
enum KeepCause {
  /** The retry budget is spent. */
  Budget = 'budget',
  /** No healthy upstream takes it now. */
  NoUpstream = 'no_upstream',
  /** A part of its prompt keeps it from others. */
  Withheld = 'withheld',
  /** Of those that would take it, none was heard during the silence. */
  Unheard = 'unheard',
}

/**
 * Runs one attempt of a request. While its upstream is silent, a successor on
 * another upstream is sought; the attempt goes on until the successor was
 * accepted, since a silent upstream may still answer.
 */
export class AttemptRunner {
  private current?: RunningAttempt;
  private successor?: RunningAttempt;
  private overlap?: Subscription;
  /** Why the current upstream was last left to go on, as logged. */
  private loggedCause?: KeepCause;
  private readonly successors: Successors;
  private readonly rationed: RationedPlacement;
  private resolve: (result: AttemptResult) => void = () => undefined;

  constructor(
    private readonly dependencies: ForwardDependencies,
    private readonly context: RequestContext,
    private readonly tally: AttemptTally,
    private readonly sink: StreamSink,
    /** Whether the caller already received a part of the response. */
    private readonly answerStarted: () => boolean,
    private readonly hold: HoldCheck,
  ) {
    const {waitQueue} = context.service;
    this.successors = new Successors(dependencies, waitQueue);
    this.rationed = new RationedPlacement(dependencies, context);
  }

  /**
   * Finds an upstream for the next attempt. Late repeats go to one that reads
   * them at once, as far as there is one.
   */
  async place(request: PlacementRequest): Promise<PlacementResult> {
    for (;;) {
      const placement =
        (await this.rationed.place(request)) ??
        (await this.placeFreely(request));
      if (placement.type !== 'rationed') return placement;
    }
  }

  private async placeFreely(request: PlacementRequest): Promise<QueueResult> {
    const {tally, context, successors} = this;
    const now = this.dependencies.timer.now();
    const sinceFirstMs = now - (tally.firstSentAt ?? now);
    if (sinceFirstMs >= LATE_REPEAT_MS) {
      const placement = await successors.placeLate(request, sinceFirstMs);
      if (placement !== undefined) return {type: 'placed', ...placement};
    }
    return context.service.waitQueue.acquire(request);
  }

  /** Resolves to the result of the attempt that was not replaced. */
  run(request: PlacementRequest, placement: Placement): Promise<AttemptResult> {
    return new Promise(resolve => {
      this.resolve = resolve;
      const {repeatCause} = this.tally;
      const attempt = this.create(request, placement, repeatCause);
      this.current = attempt;
      void this.send(attempt);
    });
  }

  /** `cause` tells why the attempt is a repeat; absent for the first one. */
  private create(
    request: PlacementRequest,
    placement: Placement,
    cause?: RepeatCause,
  ): RunningAttempt {
    const {dependencies, context, tally, sink} = this;
    let hasBytes = false;
    const heardAt = placement.endpoint.lastHeardAt;
    const sentAt = dependencies.timer.wallNow();
    const softwareVersion = () => {
      const {entry} = placement.endpoint;
      const newest = dependencies.entryOf(entry.id) ?? entry;
      return processAt(sentAt, entry, newest).softwareVersion;
    };
    const attemptSink = sink.forAttempt(softwareVersion, {
      isCurrent: () => attempt === this.current,
      onBytes: () => {
        if (attempt === this.current) this.keepCurrent();
        if (hasBytes) return;
        hasBytes = true;
        const now = dependencies.timer.now();
        tally.recordFirstBytes(attempt.sentAt, now);
        attempt.recordFirstBytes(now);
      },
      onOutput: () => {
        if (attempt === this.successor) this.promote();
      },
    });
    const attempt: RunningAttempt = new RunningAttempt(
      dependencies,
      context,
      placement,
      request,
      attemptSink,
      {
        onSent: () => {
          this.recordSending(attempt, cause, heardAt);
          if (attempt === this.successor) {
            this.limitOverlap(dependencies.timer.now());
          }
        },
        onAnswer: () => {
          if (attempt === this.current) this.keepCurrent();
        },
        isReplaceable: () => attempt === this.current && this.isReplaceable(),
        onSilence: (silence, silentMs) =>
          this.seekSuccessor(attempt, silence, silentMs),
      },
    );
    tally.triedUpstreams.add(placement.endpoint.id);
    return attempt;
  }

  /** Tells of a repeat; `heardAt` is when its upstream was last heard. */
  private recordSending(
    {endpoint}: RunningAttempt,
    cause: RepeatCause | undefined,
    heardAt: number,
  ): void {
    const {dependencies, context, tally} = this;
    const now = dependencies.timer.now();
    const firstSentAt = (tally.firstSentAt ??= now);
    if (cause === undefined) return;
    const charged = isCharged(cause);
    dependencies.metrics.recordRepeat(context.service.name, cause);
    dependencies.logger.info(
      {
        event: LogEvent.Resent,
        request: context.request.id,
        upstream: endpoint.id,
        cause,
        charged,
        sinceFirstMs: Math.round(now - firstSentAt),
        leftMs: Math.round(context.deadline.at - now),
        heardMsAgo: heardAt === -Infinity ? null : Math.round(now - heardAt),
      },
      'The request was sent to an upstream once more.',
    );
  }

  private async send(attempt: RunningAttempt): Promise<void> {
    const {tally, sink, context} = this;
    if (tally.attempts === 0) {
      const now = this.dependencies.timer.now();
      context.service.retryBudget.countFirstAttempt(now);
    }
    tally.attempts++;
    const result = await attempt.run(sink.lastEvent);
    this.end(attempt, result);
  }

  private end(attempt: RunningAttempt, result: AttemptResult): void {
    if (attempt === this.successor) {
      if (isSuccess(result)) this.promote();
      else this.dropSuccessor();
    }
    if (attempt !== this.current) {
      this.tally.recordFailure(result);
      return;
    }
    const isStopped = this.context.deadline.signal.aborted;
    if (this.successor !== undefined && !isSuccess(result) && !isStopped) {
      this.tally.recordFailure(result);
      this.current = undefined;
      this.promote();
      return;
    }
    this.dropSuccessor();
    this.current = undefined;
    // It did not fail, and can tell whether there is more.
    if (result.type === 'doubtful') {
      this.tally.triedUpstreams.delete(attempt.endpoint.id);
    }
    this.resolve(result);
  }

  /** Starts a successor of an attempt that meets silence, if one can. */
  private seekSuccessor(
    attempt: RunningAttempt,
    silence: Silence,
    silentMs: number,
  ): void {
    if (!this.isReplaceable()) return;
    const {dependencies, context} = this;
    const {endpoint} = attempt;
    if (silence === Silence.Upstream) {
      const path = this.current?.path ?? Path.Direct;
      recordSilence(dependencies, context, endpoint, path);
    }
    const request = placementRequestOf(context, {
      arrivedAt: this.tally.arrivedAt,
      triedUpstreams: this.tally.triedUpstreams,
      answerStarted: this.answerStarted(),
      hold: this.hold,
      softwareVersion: this.sink.softwareVersion,
    });
    const askedAt = dependencies.timer.now();
    const heardAt = endpoint.lastHeardAt;
    const placement = this.placeSuccessor(request, silentMs, () => {
      const isOver =
        silence === Silence.Upstream
          ? endpoint.lastHeardAt > heardAt
          : attempt.hasAnswer;
      if (isOver || attempt !== this.current) return;
      const passedMs = dependencies.timer.now() - askedAt;
      this.seekSuccessor(attempt, silence, silentMs + passedMs);
    });
    const details = {
      request: context.request.id,
      upstream: endpoint.id,
      silence,
      silentMs: Math.round(silentMs),
      lastEvent: this.sink.lastEvent,
    };
    if (typeof placement === 'string') {
      if (placement !== this.loggedCause) {
        dependencies.logger.info(
          {event: LogEvent.Silent, ...details, kept: placement},
          'The upstream is silent; waiting for it to go on.',
        );
      }
      this.loggedCause = placement;
      return;
    }
    if (silence === Silence.Connection) {
      recordOverdue(dependencies, context, endpoint);
    }
    dependencies.logger.info(
      {event: LogEvent.Silent, ...details, successor: placement.endpoint.id},
      'The upstream is silent; sending the request to another one, too.',
    );
    const cause =
      silence === Silence.Upstream ? RepeatCause.Silent : RepeatCause.Overdue;
    this.successor = this.create(request, placement, cause);
    void this.send(this.successor);
  }

  private isReplaceable(): boolean {
    const {tally, successor} = this;
    return successor === undefined && this.mayReplace(tally.possibleRuns);
  }

  /** Whether an attempt may get a successor after `possibleRuns` others. */
  private mayReplace(possibleRuns: number): boolean {
    const {route, deadline} = this.context;
    const decision = decideReplacement({
      route,
      attempts: this.tally.attempts,
      possibleRuns,
      resumable: this.sink.resumable,
      leftMs: deadline.at - this.dependencies.timer.now(),
    });
    return decision !== Retry.Never;
  }

  /** Calls `onAlive` for each upstream that is asked and answers. */
  private placeSuccessor(
    request: PlacementRequest,
    silentMs: number,
    onAlive: () => void,
  ): Placement | KeepCause {
    const {successors} = this;
    const {retryBudget} = this.context.service;
    const now = this.dependencies.timer.now();
    if (retryBudget.remaining(now) < 1) return KeepCause.Budget;
    if (withheldFor(request) !== undefined) return KeepCause.Withheld;
    const placement = successors.place(request, silentMs);
    if (placement !== undefined) {
      retryBudget.take(now);
      return placement;
    }
    successors.ask(request, onAlive);
    return successors.awaitsAnswer ? KeepCause.Unheard : KeepCause.NoUpstream;
  }

  /** Replaces the current attempt by its successor. */
  private promote(): void {
    const replaced = this.current;
    this.current = this.successor;
    this.successor = undefined;
    this.overlap?.end();
    if (replaced !== undefined) {
      replaced.abandon();
      // It did not fail, so it may continue the request if the successor does.
      this.tally.triedUpstreams.delete(replaced.endpoint.id);
    }
    this.current?.sink.begin();
  }

  /** Leaves the request to the current upstream, which sends again. */
  private keepCurrent(): void {
    const {successor} = this;
    if (successor === undefined) return;
    this.dropSuccessor();
    // It did not fail, so it may still take the request over.
    this.tally.triedUpstreams.delete(successor.endpoint.id);
  }

  private dropSuccessor(): void {
    const dropped = this.successor;
    this.successor = undefined;
    this.overlap?.end();
    dropped?.abandon();
  }

  /** Limits how long a request that was sent at `sentAt` is at two upstreams. */
  private limitOverlap(sentAt: number): void {
    this.overlap = this.dependencies.timer.after(MAX_OVERLAP_MS, () => {
      void this.endOverlap(sentAt);
    });
  }

  /**
   * Replaces the current attempt by a successor that was not refused, unless its
   * upstream has been silent, too, since the request was sent at `sentAt`.
   */
  private async endOverlap(sentAt: number): Promise<void> {
    const {successor, dependencies} = this;
    if (successor === undefined) return;
    const {endpoint, path} = successor;
    const isReading =
      endpoint.lastHeardAt >= sentAt ||
      (await dependencies.isAlive(endpoint, path));
    if (successor !== this.successor) return;
    if (isReading) this.promote();
    else if (this.mayReplace(this.tally.possibleRuns + 1)) this.dropSuccessor();
    // Otherwise whichever goes on first has the request.
    else this.limitOverlap(sentAt);
  }
}
