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

/** Waiting requests at most, before any is shed. */
const QUEUE_LIMIT = 1_000;
/** Bytes of waiting bodies at most, before any is shed. */
const QUEUE_LIMIT_BYTES = 16 * 1024 * 1024;
/** Excess of the limits that is borne while peers learn of the shedding. */
const UNSETTLED_FACTOR = 2;

/**
 * The requests that compete for the same kind of upstreams: those waiting, in
 * order, and those running.
 */
export class RequestDispatcher {
  readonly queue = new AdmissionQueue();
  readonly running = new Set<RunningAttempt>();
  private readonly floors = new FloorCredits();
  private readonly throughput: Throughput;
  /** Requests held back by a limit of their class or workspace. */
  private readonly parked = new Set<QueueEntry>();
  private readonly preempted = new WeakSet<ParsedRequest>();
  /** Waiting requests that another was preempted for; one each at most. */
  private readonly favoured = new WeakSet<QueueEntry>();
  private draining = false;

  constructor(private readonly parts: DispatcherDependencies) {
    this.throughput = new Throughput(parts.timer.now(), parts.random);
  }

  /** Number of requests that wait. */
  get waitingCount(): number {
    return this.queue.size + this.parked.size;
  }

  /** Adds a request, and starts or sheds what is due by now. */
  enqueue(entry: QueueEntry): void {
    const now = this.parts.timer.now();
    this.queue.push(entry, now);
    this.parts.limiter.adjustQueued(entry, 1, now);
    this.dispatch();
    if (entry.ticket?.queued !== true) return;
    this.parts.recorder.recordDecision(entry.work.id, {
      type: 'queued',
      ahead: this.queue.sizeAtOrAbove(tierOf(entry)) - 1,
      depth: this.waitingCount,
    });
    this.shedExcess(entry);
  }

  /** Takes a request out whose caller went away or whose time is up. */
  endWait(entry: QueueEntry, failure: Failure): void {
    if (!this.take(entry)) return;
    entry.settle(err({outcome: Outcome.NotRun, failure}));
  }

  /** Starts waiting requests while there is room. */
  dispatch(): void {
    if (this.draining) return;
    this.draining = true;
    try {
      this.unpark();
      const held = this.parts.shedding.highestShedTier(this.parts.timer.now());
      this.startOwed();
      this.startInOrder(held);
    } finally {
      this.draining = false;
    }
  }

  /** When a caller refused now should come back, in ms. */
  retryAfterMs(tier: number): number {
    const ahead = this.queue.sizeAtOrAbove(tier) + 1;
    return this.throughput.retryAfterMs(ahead, this.parts.timer.now());
  }

  /** Starts requests that the floors of their classes owe them. */
  private startOwed(): void {
    const blocked = new Set<string>();
    for (const name of [...this.queue.waitingClasses()]) {
      for (;;) {
        const now = this.parts.timer.now();
        const entry = this.queue.nextOf(name, now, lane => blocked.has(lane));
        if (entry === undefined) break;
        if (!this.floors.hasEarned(name, entry.costTokens)) break;
        if (!this.tryStart(entry, StartReason.Floor))
          blocked.add(entry.demandKey);
      }
    }
  }

  /** Starts requests in the order of the queue, down to tier `lowest`. */
  private startInOrder(lowest: number): void {
    const blockedFrom = new Map<string, number>();
    const blocked = (lane: string, tier: number) =>
      tier > lowest || tier >= (blockedFrom.get(lane) ?? Infinity);
    for (;;) {
      const now = this.parts.timer.now();
      const entry = this.queue.next(now, blocked);
      if (entry === undefined) return;
      if (this.tryStart(entry, StartReason.QueueOrder)) continue;
      blockedFrom.set(entry.demandKey, tierOf(entry));
      this.preemptFor(entry);
    }
  }

  /** Returns false when the request stays first in its queue. */
  private tryStart(entry: QueueEntry, share: StartReason): boolean {
    const {
      timer,
      selector: chooser,
      answerLengths: lengths,
      limiter: limits,
    } = this.parts;
    if (timer.now() > entry.latestUsefulStartAt) {
      this.giveUp(entry);
      return true;
    }
    if (!limits.mayStart(entry)) {
      this.park(entry);
      return true;
    }
    const tokens = lengths.expectedRemaining(entry.work);
    const choice = chooser.select(entry, tokens, share);
    if (choice === undefined) return false;
    this.take(entry);
    this.start(entry, choice);
    return true;
  }

  private start(entry: QueueEntry, choice: UpstreamSelection): void {
    const {timer, recorder, limiter: limits, linkBudgets: budgets} = this.parts;
    const now = timer.now();
    const {link} = choice.route;
    recorder.recordDecision(entry.work.id, {
      type: 'placed',
      upstream: choice.upstream.name,
      waitedMs: now - entry.queuedAt,
      weighed: choice.weighed,
      ...(link === undefined ? {} : {crossesLink: link}),
    });
    limits.recordStart(entry, now);
    this.floors.recordService(
      entry.work.serviceClass.name,
      entry.costTokens,
      this.queue.waitingClasses(),
      name => this.parts.floorShareOf(name),
    );
    const ended = (running: RunningAttempt, end: AttemptEnd) =>
      this.ended(running, end);
    const parts = {timer, recorder, budgets, ended};
    const running = new RunningAttempt(entry, choice, entry.signal, parts);
    this.running.add(running);
    entry.settle(ok(running));
  }

  private ended(running: RunningAttempt, end: AttemptEnd): void {
    const now = this.parts.timer.now();
    this.running.delete(running);
    this.throughput.recordEnd(now);
    this.parts.limiter.recordEnd(running.entry, now);
    this.parts.onAttemptEnd(running, end);
    this.dispatch();
  }

  private preemptFor(entry: QueueEntry): void {
    const now = this.parts.timer.now();
    if (this.favoured.has(entry) || !mayPreempt(entry, now)) return;
    const running = cheapestPreemptible(
      entry,
      this.preemptionCandidates(),
      now,
    );
    if (running === undefined) return;
    this.preempted.add(running.entry.work);
    this.favoured.add(entry);
    this.parts.recorder.recordDecision(running.entry.work.id, {
      type: 'preempted',
      upstream: running.upstream.name,
      inFavourOf: entry.work.id,
    });
    running.preempt(entry.work.id);
  }

  /** Running attempts; a request is preempted only once. */
  private *preemptionCandidates(): Generator<RunningAttempt> {
    for (const running of this.running) {
      if (!this.preempted.has(running.entry.work)) yield running;
    }
  }

  /** Ends requests that can't be answered before their deadline. */
  private giveUp(entry: QueueEntry): void {
    this.parts.recorder.recordDecision(entry.work.id, {
      type: 'shed',
      reason: ShedReason.Deadline,
    });
    this.endWait(entry, {type: 'deadlineExceeded'});
  }

  private shedExcess(arrived: QueueEntry): void {
    while (this.exceeds(1)) {
      const victim = this.queue.shedCandidate();
      if (victim === undefined || !this.mayShed(victim)) return;
      this.shed(victim, arrived);
    }
  }

  private exceeds(factor: number): boolean {
    const {size, bytes} = this.queue;
    return size > factor * QUEUE_LIMIT || bytes > factor * QUEUE_LIMIT_BYTES;
  }

  /** Whether peers hold back lower tiers, or there are none. */
  private mayShed(victim: QueueEntry): boolean {
    const {shedding: pressure, timer} = this.parts;
    const tier = tierOf(victim);
    if (tier >= this.parts.lowestTier()) return true;
    pressure.announce(tier, timer.now());
    const settled = pressure.hasPropagated(tier, timer.now());
    return settled || this.exceeds(UNSETTLED_FACTOR);
  }

  private shed(victim: QueueEntry, arrived: QueueEntry): void {
    this.parts.recorder.recordDecision(victim.work.id, {
      type: 'shed',
      reason: ShedReason.QueueFull,
      ...(victim === arrived ? {} : {inFavourOf: arrived.work.id}),
    });
    const retryAfterMs = this.retryAfterMs(tierOf(victim));
    this.endWait(victim, {type: 'overloaded', retryAfterMs});
  }

  private take(entry: QueueEntry): boolean {
    if (this.parked.delete(entry)) {
      this.parts.limiter.adjustQueued(entry, -1, this.parts.timer.now());
      return true;
    }
    if (entry.ticket?.queued !== true) return false;
    this.queue.remove(entry);
    this.parts.limiter.adjustQueued(entry, -1, this.parts.timer.now());
    return true;
  }

  private park(entry: QueueEntry): void {
    this.queue.remove(entry);
    this.parked.add(entry);
    if (this.parked.size <= QUEUE_LIMIT) return;
    this.parts.recorder.recordDecision(entry.work.id, {
      type: 'shed',
      reason: ShedReason.WorkspaceLimit,
    });
    const retryAfterMs = this.retryAfterMs(tierOf(entry));
    this.endWait(entry, {type: 'limited', scope: 'workspace', retryAfterMs});
  }

  private unpark(): void {
    for (const entry of this.parked) {
      if (!this.parts.limiter.mayStart(entry)) continue;
      this.parked.delete(entry);
      this.queue.push(entry, this.parts.timer.now());
    }
  }
}
