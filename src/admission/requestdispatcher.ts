import {err, ok} from 'neverthrow';
import {
  Outcome,
  type AttemptEnd,
  type Failure,
  type ParsedRequest,
} from '../request/index.js';
import {ShedReason} from '../telemetry/index.js';
import {FloorCredits} from './floorcredits.js';
import {tierOf, type QueueEntry} from './queueentry.js';
import {mayPreempt, cheapestPreemptible} from './preemption.js';
import {AdmissionQueue} from './queue.js';
import {StartReason} from './capacity.js';
import {RunningAttempt} from './runningattempt.js';
import type {DispatcherDependencies} from './scheduler.js';
import {Throughput} from './throughput.js';
import type {UpstreamSelection} from './upstreamselector.js';

/** Number of waiting requests above which requests are shed. */
const MAX_WAITING = 1_000;
/** Total size of waiting bodies above which requests are shed. */
const MAX_WAITING_BYTES = 16 * 1024 * 1024;
/**
 * Multiple of the limits that is tolerated until peers have received which tier
 * is shed here.
 */
const LIMIT_FACTOR_BEFORE_PROPAGATION = 2;

/**
 * Queues requests that compete for the same kind of upstream, starts them while
 * there is capacity, and sheds or preempts some under overload.
 */
export class RequestDispatcher {
  readonly queue = new AdmissionQueue();
  readonly running = new Set<RunningAttempt>();
  private readonly floorCredits = new FloorCredits();
  private readonly throughput: Throughput;
  /** Requests set aside by a concurrency limit of their class or workspace. */
  private readonly heldByLimit = new Set<QueueEntry>();
  /** Requests that were preempted; each is at most once. */
  private readonly preemptedWork = new WeakSet<ParsedRequest>();
  /** Requests that another was preempted for; at most one for each. */
  private readonly preemptedFor = new WeakSet<QueueEntry>();
  /** Prevents nested runs of [[dispatch]]. */
  private dispatching = false;

  constructor(private readonly deps: DispatcherDependencies) {
    this.throughput = new Throughput(deps.timer.now(), deps.random);
  }

  /** Number of waiting requests, those held by a limit included. */
  get waitingCount(): number {
    return this.queue.size + this.heldByLimit.size;
  }

  /** Queues a request, then starts or sheds requests as needed. */
  enqueue(entry: QueueEntry): void {
    const now = this.deps.timer.now();
    this.queue.push(entry, now);
    this.deps.limiter.adjustQueued(entry, 1, now);
    this.dispatch();
    if (entry.ticket?.queued !== true) return;
    this.deps.recorder.recordDecision(entry.work.id, {
      type: 'queued',
      ahead: this.queue.sizeAtOrAbove(tierOf(entry)) - 1,
      depth: this.waitingCount,
    });
    this.shedExcess(entry);
  }

  /**
   * Ends the wait of a request that did not run. Does nothing if it no longer
   * waits.
   */
  endWait(entry: QueueEntry, failure: Failure): void {
    if (!this.dequeue(entry)) return;
    entry.settle(err({outcome: Outcome.NotRun, failure}));
  }

  /** Starts waiting requests while upstreams have capacity. */
  dispatch(): void {
    if (this.dispatching) return;
    this.dispatching = true;
    try {
      this.requeueHeld();
      const lowestTier = this.deps.shedding.highestShedTier(
        this.deps.timer.now(),
      );
      this.startByFloor();
      this.startInQueueOrder(lowestTier);
    } finally {
      this.dispatching = false;
    }
  }

  /** Time after which a caller that is refused now should retry, in ms. */
  retryAfterMs(tier: number): number {
    const ahead = this.queue.sizeAtOrAbove(tier) + 1;
    return this.throughput.retryAfterMs(ahead, this.deps.timer.now());
  }

  /** Starts requests whose classes have earned it by their floors. */
  private startByFloor(): void {
    const full = new Set<string>();
    for (const className of [...this.queue.waitingClasses()]) {
      for (;;) {
        const now = this.deps.timer.now();
        const entry = this.queue.nextOf(className, now, demandKey =>
          full.has(demandKey),
        );
        if (entry === undefined) break;
        if (!this.floorCredits.hasEarned(className, entry.costTokens)) break;
        if (!this.tryStart(entry, StartReason.Floor)) full.add(entry.demandKey);
      }
    }
  }

  /** Starts requests in queue order, down to and including `lowestTier`. */
  private startInQueueOrder(lowestTier: number): void {
    const blockedFrom = new Map<string, number>();
    const blocked = (demandKey: string, tier: number) =>
      tier > lowestTier || tier >= (blockedFrom.get(demandKey) ?? Infinity);
    for (;;) {
      const now = this.deps.timer.now();
      const entry = this.queue.next(now, blocked);
      if (entry === undefined) return;
      if (this.tryStart(entry, StartReason.QueueOrder)) continue;
      blockedFrom.set(entry.demandKey, tierOf(entry));
      this.preemptFor(entry);
    }
  }

  /**
   * Starts a request, ends its wait or holds it by a limit. Returns false if
   * there is no capacity, and leaves it in the queue.
   */
  private tryStart(entry: QueueEntry, reason: StartReason): boolean {
    const {timer, selector, answerLengths, limiter} = this.deps;
    if (timer.now() > entry.latestUsefulStartAt) {
      this.shedUnservable(entry);
      return true;
    }
    if (!limiter.mayStart(entry)) {
      this.holdByLimit(entry);
      return true;
    }
    const answerTokens = answerLengths.expectedRemaining(entry.work);
    const selection = selector.select(entry, answerTokens, reason);
    if (selection === undefined) return false;
    this.dequeue(entry);
    this.start(entry, selection);
    return true;
  }

  private start(entry: QueueEntry, selection: UpstreamSelection): void {
    const {timer, recorder, limiter, linkBudgets} = this.deps;
    const now = timer.now();
    const {link} = selection.route;
    recorder.recordDecision(entry.work.id, {
      type: 'placed',
      upstream: selection.upstream.name,
      waitedMs: now - entry.queuedAt,
      weighed: selection.weighed,
      ...(link === undefined ? {} : {crossesLink: link}),
    });
    limiter.recordStart(entry, now);
    this.floorCredits.recordService(
      entry.work.serviceClass.name,
      entry.costTokens,
      this.queue.waitingClasses(),
      className => this.deps.floorShareOf(className),
    );
    const onEnded = (attempt: RunningAttempt, end: AttemptEnd) =>
      this.handleEnd(attempt, end);
    const attemptDeps = {timer, recorder, linkBudgets, onEnded};
    const attempt = new RunningAttempt(
      entry,
      selection,
      entry.signal,
      attemptDeps,
    );
    this.running.add(attempt);
    entry.settle(ok(attempt));
  }

  private handleEnd(attempt: RunningAttempt, end: AttemptEnd): void {
    const now = this.deps.timer.now();
    this.running.delete(attempt);
    this.throughput.recordEnd(now);
    this.deps.limiter.recordEnd(attempt.entry, now);
    this.deps.onAttemptEnd(attempt, end);
    this.dispatch();
  }

  /** Stops an attempt of a much lower tier if `entry` is urgent. */
  private preemptFor(entry: QueueEntry): void {
    const now = this.deps.timer.now();
    if (this.preemptedFor.has(entry) || !mayPreempt(entry, now)) return;
    const victim = cheapestPreemptible(entry, this.preemptionCandidates(), now);
    if (victim === undefined) return;
    this.preemptedWork.add(victim.entry.work);
    this.preemptedFor.add(entry);
    this.deps.recorder.recordDecision(victim.entry.work.id, {
      type: 'preempted',
      upstream: victim.upstream.name,
      inFavourOf: entry.work.id,
    });
    victim.preempt(entry.work.id);
  }

  /** Running attempts whose requests were not preempted before. */
  private *preemptionCandidates(): Generator<RunningAttempt> {
    for (const attempt of this.running) {
      if (!this.preemptedWork.has(attempt.entry.work)) yield attempt;
    }
  }

  /** Sheds a request that no longer can be answered before its deadline. */
  private shedUnservable(entry: QueueEntry): void {
    this.deps.recorder.recordDecision(entry.work.id, {
      type: 'shed',
      reason: ShedReason.Deadline,
    });
    this.endWait(entry, {type: 'deadlineExceeded'});
  }

  /** Sheds requests while the queue exceeds its limits. */
  private shedExcess(arrived: QueueEntry): void {
    while (this.exceedsLimits(1)) {
      const victim = this.queue.shedCandidate();
      if (victim === undefined || !this.mayShed(victim)) return;
      this.shed(victim, arrived);
    }
  }

  /** Whether the queue exceeds `factor` times its limits. */
  private exceedsLimits(factor: number): boolean {
    const {size, bytes} = this.queue;
    return size > factor * MAX_WAITING || bytes > factor * MAX_WAITING_BYTES;
  }

  /**
   * Whether a request may be shed. One of the lowest tier may be at once;
   * otherwise peers are told first, so that they stop starting lower tiers, and
   * shedding begins when they know or when the queue exceeds its limits by far.
   */
  private mayShed(victim: QueueEntry): boolean {
    const {shedding, timer} = this.deps;
    const tier = tierOf(victim);
    if (tier >= this.deps.lowestTier()) return true;
    shedding.announce(tier, timer.now());
    const propagated = shedding.hasPropagated(tier, timer.now());
    return propagated || this.exceedsLimits(LIMIT_FACTOR_BEFORE_PROPAGATION);
  }

  private shed(victim: QueueEntry, arrived: QueueEntry): void {
    this.deps.recorder.recordDecision(victim.work.id, {
      type: 'shed',
      reason: ShedReason.QueueFull,
      ...(victim === arrived ? {} : {inFavourOf: arrived.work.id}),
    });
    const retryAfterMs = this.retryAfterMs(tierOf(victim));
    this.endWait(victim, {type: 'overloaded', retryAfterMs});
  }

  /** Takes a request out of the wait; returns whether it was waiting. */
  private dequeue(entry: QueueEntry): boolean {
    if (this.heldByLimit.delete(entry)) {
      this.deps.limiter.adjustQueued(entry, -1, this.deps.timer.now());
      return true;
    }
    if (entry.ticket?.queued !== true) return false;
    this.queue.remove(entry);
    this.deps.limiter.adjustQueued(entry, -1, this.deps.timer.now());
    return true;
  }

  /**
   * Sets a request aside until the limit on concurrent requests lets it start,
   * so that it does not block those behind it.
   */
  private holdByLimit(entry: QueueEntry): void {
    this.queue.remove(entry);
    this.heldByLimit.add(entry);
    if (this.heldByLimit.size <= MAX_WAITING) return;
    this.deps.recorder.recordDecision(entry.work.id, {
      type: 'shed',
      reason: ShedReason.WorkspaceLimit,
    });
    const retryAfterMs = this.retryAfterMs(tierOf(entry));
    this.endWait(entry, {type: 'limited', scope: 'workspace', retryAfterMs});
  }

  /** Queues held requests again that the limits now let start. */
  private requeueHeld(): void {
    for (const entry of this.heldByLimit) {
      if (!this.deps.limiter.mayStart(entry)) continue;
      this.heldByLimit.delete(entry);
      this.queue.push(entry, this.deps.timer.now());
    }
  }
}
