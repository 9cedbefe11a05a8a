import type {Logger} from 'pino';
import {v7 as uuidv7} from 'uuid';
import type {Log} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import {LeaseFollower} from './follower.js';
import {LEASE_STREAM} from './record.js';
import type {LeaseTable} from './table.js';

/** Parts of a term, as divisors of it. */
const CHECKS_PER_TERM = 15;
const RENEWALS_PER_TERM = 3;
const SAFETY_MARGINS_PER_TERM = 10;

/** A lease this instance holds. */
export interface HeldLease {
  pool: string;
  /** Offset of the grant; every order carries it. */
  fencing: number;
  /** Monotonic ms since which it is held. */
  heldSince: number;
  /** Monotonic ms at which this instance must have stopped to act on it. */
  validUntil: number;
}

/** What a [[LeaseManager]] needs. */
export interface LeaseParts {
  log: Log;
  timer: Timer;
  logger: Logger;
  /** Name of this process, unlike that of any earlier process. */
  holder: string;
  /** Term of a lease in ms, the same in the whole fleet. */
  termMs: number;
  /**
   * Rank of this instance among the candidates for a pool's lease, from 0;
   * undefined when it is none.
   */
  rankOf(pool: string): number | undefined;
}

interface TrackedLease extends HeldLease {
  /** The register whose reading found the lease valid. */
  table: LeaseTable;
}

/**
 * Acquires, renews and releases the leases of pools through the log. One task
 * does it for all pools; one record renews every lease that is held.
 */
export class LeaseManager {
  /** Records appended, and leases gained and lost. */
  readonly usage = {appends: 0, acquired: 0, lost: 0};
  private readonly follower: LeaseFollower;
  private readonly leases = new Map<string, TrackedLease>();
  private readonly stopController = new AbortController();
  private pools: string[] = [];
  private renewedAt = 0;
  /** Monotonic ms before which no lease is asked for, after a failure. */
  private nextRequestAt = 0;
  private loop?: Promise<void>;

  constructor(private readonly parts: LeaseParts) {
    const {log, timer, logger} = parts;
    this.follower = new LeaseFollower(log, timer, logger);
  }

  /** Sets the pools whose leases this instance contends for. */
  contend(pools: string[]): void {
    this.pools = pools;
  }

  /**
   * The lease of a pool if this instance holds it now. The answer is good until
   * `until` and has to be asked for again right before each use.
   */
  held(pool: string): HeldLease | undefined {
    const lease = this.leases.get(pool);
    if (lease === undefined) return undefined;
    return this.parts.timer.now() < lease.validUntil ? lease : undefined;
  }

  /** Who holds the lease of a pool, as far as the log was read. */
  holderOf(pool: string): string | undefined {
    const lease = this.follower.current()?.lease(pool);
    return lease?.released === false ? lease.holder : undefined;
  }

  start(): void {
    this.loop ??= this.run();
  }

  /** Releases every lease. No order may be under way any more. */
  async stop(): Promise<void> {
    this.stopController.abort();
    this.follower.stop();
    await this.loop;
    const leases = this.heldLeases();
    this.leases.clear();
    if (leases.length === 0) return;
    const {holder, log} = this.parts;
    this.usage.appends++;
    await log.append(LEASE_STREAM, {
      type: 'release',
      id: uuidv7(),
      holder,
      leases,
    });
  }

  private get safetyMarginMs(): number {
    return this.parts.termMs / SAFETY_MARGINS_PER_TERM;
  }

  private async run(): Promise<void> {
    const {timer, termMs} = this.parts;
    const {signal} = this.stopController;
    while (!signal.aborted) {
      this.followWhileCandidate();
      this.dropLostLeases();
      await this.renewWhenDue();
      await this.acquireFreeLeases();
      await timer.sleep(termMs / CHECKS_PER_TERM, signal);
    }
  }

  /** Reads the stream only while this instance is a candidate. */
  private followWhileCandidate(): void {
    const isCandidate = this.pools.some(
      pool => this.parts.rankOf(pool) !== undefined,
    );
    if (isCandidate || this.leases.size > 0) this.follower.start();
    else this.follower.stop();
  }

  private dropLostLeases(): void {
    const table = this.follower.current();
    const now = this.parts.timer.now();
    for (const [pool, lease] of this.leases) {
      const valid =
        table?.lease(pool)?.fencing === lease.fencing &&
        table === lease.table &&
        this.pools.includes(pool);
      if (valid && now < lease.validUntil) continue;
      this.leases.delete(pool);
      this.usage.lost++;
      const {fencing} = lease;
      this.parts.logger.warn({pool, fencing}, 'Lease lost.');
    }
  }

  private async renewWhenDue(): Promise<void> {
    const {timer, termMs, holder} = this.parts;
    const sentAt = timer.now();
    const periodMs = termMs / RENEWALS_PER_TERM;
    if (this.leases.size === 0 || sentAt - this.renewedAt < periodMs) return;
    const leases = this.heldLeases();
    this.usage.appends++;
    const renewed = await this.follower.append(
      {type: 'renewal', id: uuidv7(), holder, termMs, leases},
      periodMs,
    );
    if (renewed.isErr()) {
      const failure = renewed.error;
      this.parts.logger.warn({failure}, 'Leases not renewed.');
      return;
    }
    this.renewedAt = sentAt;
    this.dropLostLeases();
    for (const {pool, fencing} of leases) this.extend(pool, fencing, sentAt);
  }

  private extend(pool: string, fencing: number, sentAt: number): void {
    const lease = this.leases.get(pool);
    if (lease?.fencing !== fencing) return;
    lease.validUntil = sentAt + this.parts.termMs - this.safetyMarginMs;
  }

  private async acquireFreeLeases(): Promise<void> {
    const {timer, termMs} = this.parts;
    if (!this.follower.readable || timer.now() < this.nextRequestAt) return;
    for (const pool of this.pools) {
      if (this.stopController.signal.aborted) return;
      if (this.leases.has(pool) || !this.mayAcquire(pool)) continue;
      // A log that fails now would only fail for the next pool, too.
      if (await this.acquire(pool)) continue;
      this.nextRequestAt = timer.now() + termMs / RENEWALS_PER_TERM;
      return;
    }
  }

  private mayAcquire(pool: string): boolean {
    const {holder, timer, termMs} = this.parts;
    const rank = this.parts.rankOf(pool);
    const table = this.follower.current();
    if (rank === undefined || table === undefined) return false;
    // Candidates ask one after the other, so that one grant is enough.
    const rankDelayMs = this.safetyMarginMs * rank;
    const now = timer.now();
    if (now - this.follower.readableSince < rankDelayMs) return false;
    return table.isFree(
      pool,
      holder,
      now,
      termMs + this.safetyMarginMs + rankDelayMs,
    );
  }

  /** Asks for a lease; false when the log failed. */
  private async acquire(pool: string): Promise<boolean> {
    const {holder, timer, termMs, logger} = this.parts;
    const sentAt = timer.now();
    this.usage.appends++;
    const {lastOffset: upTo} = this.follower;
    const granted = await this.follower.append(
      {type: 'grant', id: uuidv7(), pool, holder, termMs, upTo},
      termMs / RENEWALS_PER_TERM,
    );
    if (granted.isErr()) {
      logger.warn({pool, failure: granted.error}, 'Lease not asked for.');
      return false;
    }
    const table = this.follower.current();
    const fencing = granted.value;
    if (table?.lease(pool)?.fencing !== fencing) return true;
    const validUntil = sentAt + termMs - this.safetyMarginMs;
    const heldSince = timer.now();
    this.leases.set(pool, {
      pool,
      fencing,
      heldSince,
      validUntil,
      table,
    });
    this.usage.acquired++;
    logger.info({pool, fencing}, 'Lease gained.');
    return true;
  }

  private heldLeases(): Array<{pool: string; fencing: number}> {
    return [...this.leases.values()].map(({pool, fencing}) => ({
      pool,
      fencing,
    }));
  }
}
