import {err, ok} from 'neverthrow';
import {
  Outcome,
  type AttemptEnd,
  type Failure,
  type Work,
} from '../request/index.js';
import {ShedReason} from '../telemetry/index.js';
import {Floors} from './floorcredits.js';
import {tierOf, type Entry} from './queueentry.js';
import {mayPreempt, preemptible} from './preemption.js';
import {AdmissionQueue} from './queue.js';
import {Share} from './capacity.js';
import {Running} from './runningattempt.js';
import type {AdmissionParts} from './scheduler.js';
import {Throughput} from './throughput.js';
import type {Choice} from './upstreamselector.js';

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
export class Line {
  readonly queue = new AdmissionQueue();
  readonly running = new Set<Running>();
  private readonly floors = new Floors();
  private readonly throughput: Throughput;
  /** Requests held back by a limit of their class or workspace. */
  private readonly parked = new Set<Entry>();
  private readonly preempted = new WeakSet<Work>();
  /** Waiting requests that another was preempted for; one each at most. */
  private readonly favoured = new WeakSet<Entry>();
  private draining = false;

  constructor(private readonly parts: AdmissionParts) {
    this.throughput = new Throughput(parts.timer.now(), parts.random);
  }

  /** Number of requests that wait. */
  get waiting(): number {
    return this.queue.size + this.parked.size;
  }

  /** Adds a request, and starts or sheds what is due by now. */
  add(entry: Entry): void {
    const now = this.parts.timer.now();
    this.queue.push(entry, now);
    this.parts.limits.queued(entry, 1, now);
    this.drain();
    if (entry.ticket?.queued !== true) return;
    this.parts.recorder.recordDecision(entry.work.id, {
      type: 'queued',
      ahead: this.queue.sizeFrom(tierOf(entry)) - 1,
      depth: this.waiting,
    });
    this.shedExcess(entry);
  }

  /** Takes a request out whose caller went away or whose time is up. */
  end(entry: Entry, failure: Failure): void {
    if (!this.take(entry)) return;
    entry.settle(err({outcome: Outcome.NotRun, failure}));
  }

  /** Starts waiting requests while there is room. */
  drain(): void {
    if (this.draining) return;
    this.draining = true;
    try {
      this.unpark();
      const held = this.parts.pressure.heldBelow(this.parts.timer.now());
      this.startOwed();
      this.startInOrder(held);
    } finally {
      this.draining = false;
    }
  }

  /** When a caller refused now should come back, in ms. */
  retryAfterMs(tier: number): number {
    const ahead = this.queue.sizeFrom(tier) + 1;
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
        if (!this.floors.due(name, entry.cost)) break;
        if (!this.tryStart(entry, Share.Floor)) blocked.add(entry.lane);
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
      if (this.tryStart(entry, Share.Order)) continue;
      blockedFrom.set(entry.lane, tierOf(entry));
      this.preemptFor(entry);
    }
  }

  /** Returns false when the request stays first in its queue. */
  private tryStart(entry: Entry, share: Share): boolean {
    const {timer, chooser, lengths, limits} = this.parts;
    if (timer.now() > entry.hopelessAt) {
      this.giveUp(entry);
      return true;
    }
    if (!limits.mayStart(entry)) {
      this.park(entry);
      return true;
    }
    const tokens = lengths.remaining(entry.work);
    const choice = chooser.choose(entry, tokens, share);
    if (choice === undefined) return false;
    this.take(entry);
    this.start(entry, choice);
    return true;
  }

  private start(entry: Entry, choice: Choice): void {
    const {timer, recorder, limits, budgets} = this.parts;
    const now = timer.now();
    const {link} = choice.route;
    recorder.recordDecision(entry.work.id, {
      type: 'placed',
      upstream: choice.upstream.name,
      waitedMs: now - entry.queuedAt,
      weighed: choice.weighed,
      ...(link === undefined ? {} : {crossesLink: link}),
    });
    limits.started(entry, now);
    this.floors.serve(
      entry.work.serviceClass.name,
      entry.cost,
      this.queue.waitingClasses(),
      name => this.parts.floorShareOf(name),
    );
    const ended = (running: Running, end: AttemptEnd) =>
      this.ended(running, end);
    const parts = {timer, recorder, budgets, ended};
    const running = new Running(entry, choice, entry.signal, parts);
    this.running.add(running);
    entry.settle(ok(running));
  }

  private ended(running: Running, end: AttemptEnd): void {
    const now = this.parts.timer.now();
    this.running.delete(running);
    this.throughput.add(now);
    this.parts.limits.ended(running.entry, now);
    this.parts.learn(running, end);
    this.drain();
  }

  private preemptFor(entry: Entry): void {
    const now = this.parts.timer.now();
    if (this.favoured.has(entry) || !mayPreempt(entry, now)) return;
    const running = preemptible(entry, this.preemptionCandidates(), now);
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
  private *preemptionCandidates(): Generator<Running> {
    for (const running of this.running) {
      if (!this.preempted.has(running.entry.work)) yield running;
    }
  }

  /** Ends requests that can't be answered before their deadline. */
  private giveUp(entry: Entry): void {
    this.parts.recorder.recordDecision(entry.work.id, {
      type: 'shed',
      reason: ShedReason.Deadline,
    });
    this.end(entry, {type: 'deadlineExceeded'});
  }

  private shedExcess(arrived: Entry): void {
    while (this.exceeds(1)) {
      const victim = this.queue.leastGain();
      if (victim === undefined || !this.mayShed(victim)) return;
      this.shed(victim, arrived);
    }
  }

  private exceeds(factor: number): boolean {
    const {size, bytes} = this.queue;
    return size > factor * QUEUE_LIMIT || bytes > factor * QUEUE_LIMIT_BYTES;
  }

  /** Whether peers hold back lower tiers, or there are none. */
  private mayShed(victim: Entry): boolean {
    const {pressure, timer} = this.parts;
    const tier = tierOf(victim);
    if (tier >= this.parts.lowestTier()) return true;
    pressure.notice(tier, timer.now());
    const settled = pressure.settled(tier, timer.now());
    return settled || this.exceeds(UNSETTLED_FACTOR);
  }

  private shed(victim: Entry, arrived: Entry): void {
    this.parts.recorder.recordDecision(victim.work.id, {
      type: 'shed',
      reason: ShedReason.QueueFull,
      ...(victim === arrived ? {} : {inFavourOf: arrived.work.id}),
    });
    const retryAfterMs = this.retryAfterMs(tierOf(victim));
    this.end(victim, {type: 'overloaded', retryAfterMs});
  }

  private take(entry: Entry): boolean {
    if (this.parked.delete(entry)) {
      this.parts.limits.queued(entry, -1, this.parts.timer.now());
      return true;
    }
    if (entry.ticket?.queued !== true) return false;
    this.queue.remove(entry);
    this.parts.limits.queued(entry, -1, this.parts.timer.now());
    return true;
  }

  private park(entry: Entry): void {
    this.queue.remove(entry);
    this.parked.add(entry);
    if (this.parked.size <= QUEUE_LIMIT) return;
    this.parts.recorder.recordDecision(entry.work.id, {
      type: 'shed',
      reason: ShedReason.WorkspaceLimit,
    });
    const retryAfterMs = this.retryAfterMs(tierOf(entry));
    this.end(entry, {type: 'limited', scope: 'workspace', retryAfterMs});
  }

  private unpark(): void {
    for (const entry of this.parked) {
      if (!this.parts.limits.mayStart(entry)) continue;
      this.parked.delete(entry);
      this.queue.push(entry, this.parts.timer.now());
    }
  }
}
