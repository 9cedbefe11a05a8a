import type {Subscription, Timer} from '../timer/index.js';
import {WorkPool} from './workpool.js';

/** Work that each answer may cause at once, in units. */
const OWN_BURST = 400;
/** Work that each answer may cause all the time, in units a second. */
const OWN_PER_SECOND = 200;
/** Work that an answer draws from the pool at a time, in units. */
const DRAW = 500;
/** Work of its own share for which an answer that waits goes on, in units. */
const MIN_OWN = 50;
/** A chunk is one unit, whatever its size. */
const LINES_PER_UNIT = 8;
const BYTES_PER_UNIT = 4 * 1024;
/** Chunks and events below this mean size, in bytes, are small. */
const SMALL_PART_BYTES = 64;
/** Lines below this mean size, in bytes, are small. */
const SMALL_LINE_BYTES = 8;
/** Period in which answers that wait are looked at, in ms. */
const GRANT_PERIOD_MS = 50;
/** Time that an answer in small parts may wait in sum, in ms. */
const WAIT_LIMIT_MS = 1_000;
/** Time for which an answer that has drawn from the pool counts there, in ms. */
const DRAW_MEMORY_MS = 1_000;

/** Told what an answer has to do. */
export interface AnswerListener {
  /** It goes on after it had to wait. */
  resume(): void;
  /** It waits on. */
  waits(): void;
  /** It has cost too much for too long. */
  breakOff(): void;
}

/** What one answer has brought, and the work it may still cause. */
export class AnswerMeter {
  chunks = 0;
  events = 0;
  lines = 0;
  bytes = 0;
  /** Work that it may cause before it draws or waits, in units. */
  private credit = OWN_BURST;
  private refilledAt: number;
  /** Present while it waits, in monotonic ms. */
  private waitsSince?: number;
  private waitedMs = 0;
  private ended = false;

  constructor(
    private readonly pool: AnswerLimit,
    private readonly listener: AnswerListener,
    now: number,
  ) {
    this.refilledAt = now;
  }

  /** Counts a chunk; false if the answer has to wait before the next one. */
  addChunk(bytes: number): boolean {
    this.chunks++;
    this.bytes += bytes;
    this.credit -= 1 + bytes / BYTES_PER_UNIT;
    return this.goesOn();
  }

  /** Counts events; false if the answer has to wait before the next chunk. */
  addEvents(events: number, lines: number): boolean {
    this.events += events;
    this.lines += lines;
    this.credit -= lines / LINES_PER_UNIT;
    return this.goesOn();
  }

  /** No more of the answer counts, though more of what was read may be told of. */
  end(): void {
    this.ended = true;
    this.pool.leave(this);
  }

  /** Adds what its own share has grown by; returns what there is of it. */
  refill(now: number): number {
    const added = ((now - this.refilledAt) / 1_000) * OWN_PER_SECOND;
    this.refilledAt = now;
    this.credit = Math.min(OWN_BURST, this.credit + added);
    return this.credit;
  }

  /** Work that it needs from the pool to go on, in units. */
  get need(): number {
    return DRAW - Math.min(0, this.credit);
  }

  draw(units: number): void {
    this.credit += units;
  }

  startWaiting(now: number): void {
    this.waitsSince = now;
  }

  goOn(now: number): void {
    this.waitedMs += now - (this.waitsSince ?? now);
    delete this.waitsSince;
    this.listener.resume();
  }

  /** Waits on, or breaks the answer off. */
  waitOn(now: number): void {
    const waitedMs = this.waitedMs + now - (this.waitsSince ?? now);
    if (waitedMs <= WAIT_LIMIT_MS || !this.isSmall) this.listener.waits();
    else this.listener.breakOff();
  }

  private goesOn(): boolean {
    return this.ended || this.credit >= 0 || this.pool.admits(this);
  }

  /** Whether it comes in small chunks or events, or in lines that are no event. */
  private get isSmall(): boolean {
    const {bytes, chunks, events, lines} = this;
    return (
      bytes < (chunks + events) * SMALL_PART_BYTES ||
      bytes < lines * SMALL_LINE_BYTES
    );
  }
}

/**
 * Limits the processor time that answers of upstreams take. Each has a share of
 * its own, which answers at the pace of a model don't exceed. Those that exceed
 * it draw from one pool and wait once it is empty; one in small parts that has
 * waited for long is broken off. In calm, a single one never waits. While the
 * event loop is late, none draws, and the pool grows more slowly.
 */
export class AnswerLimit {
  private readonly pool: WorkPool;
  /** When answers last drew from the pool, in monotonic ms. */
  private readonly drewAt = new Map<AnswerMeter, number>();
  private readonly waiting = new Set<AnswerMeter>();
  private nextGrant?: Subscription;

  constructor(private readonly timer: Pick<Timer, 'now' | 'after'>) {
    this.pool = new WorkPool(timer.now());
  }

  /** Number of answers that wait. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Begins to count an answer. */
  open(listener: AnswerListener): AnswerMeter {
    return new AnswerMeter(this, listener, this.timer.now());
  }

  /** Whether an answer that has used its share goes on; it waits if not. */
  admits(meter: AnswerMeter): boolean {
    if (this.waiting.has(meter)) return false;
    const now = this.timer.now();
    if (meter.refill(now) >= 0) return true;
    if (this.waiting.size === 0 && this.grant(meter, now)) return true;
    this.waiting.add(meter);
    meter.startWaiting(now);
    this.scheduleGrant(now);
    return false;
  }

  leave(meter: AnswerMeter): void {
    this.waiting.delete(meter);
    this.drewAt.delete(meter);
  }

  /** Lets an answer draw if the pool isn't empty, or no other one draws in calm. */
  private grant(meter: AnswerMeter, now: number): boolean {
    const {need} = meter;
    if (this.pool.isLate(now)) return false;
    const draws =
      this.pool.take(need, now) ||
      (this.pool.isFullRate(now) && this.isAlone(meter, now));
    if (!draws) return false;
    meter.draw(need);
    this.drewAt.set(meter, now);
    this.scheduleGrant(now);
    return true;
  }

  private isAlone(meter: AnswerMeter, now: number): boolean {
    this.forgetDraws(now);
    return this.drewAt.size === (this.drewAt.has(meter) ? 1 : 0);
  }

  private forgetDraws(now: number): void {
    for (const [meter, at] of this.drewAt) {
      if (now - at > DRAW_MEMORY_MS) this.drewAt.delete(meter);
    }
  }

  /** Looks again after a period, which also shows how late the event loop is. */
  private scheduleGrant(now: number): void {
    if (this.nextGrant !== undefined) return;
    this.pool.expectLook(now + GRANT_PERIOD_MS);
    this.nextGrant = this.timer.after(GRANT_PERIOD_MS, () => {
      delete this.nextGrant;
      const at = this.timer.now();
      this.pool.look(at);
      this.grantAll();
      this.forgetDraws(at);
      if (this.waiting.size > 0 || this.drewAt.size > 0) this.scheduleGrant(at);
    });
  }

  /** Lets answers go on in the order in which they began to wait. */
  private grantAll(): void {
    for (const meter of [...this.waiting]) {
      const now = this.timer.now();
      // One that goes on may end others.
      if (!this.waiting.has(meter)) continue;
      if (meter.refill(now) >= MIN_OWN || this.grant(meter, now)) {
        this.waiting.delete(meter);
        meter.goOn(now);
      } else meter.waitOn(now);
    }
  }
}
