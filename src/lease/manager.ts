import type {Logger} from 'pino';
import {v7 as uuidv7} from 'uuid';
import type {Log} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import {LeaseFollower} from './follower.js';
import {LEASE_STREAM} from './record.js';
import type {LeaseTable} from './table.js';

/**
 * Divisors of the lease term that give the time between checks, the time
 * between renewals, and the safety margin by which a holder stops early.
 */
const CHECKS_PER_TERM = 15;
const RENEWALS_PER_TERM = 3;
const SAFETY_MARGINS_PER_TERM = 10;

/** A lease that this instance holds. */
export interface HeldLease {
  pool: string;
  /** Fencing number: the offset of the grant. Every order carries it. */
  fencing: number;
  /** When this instance acquired the lease, in monotonic ms. */
  heldSince: number;
  /**
   * When this instance must stop acting under the lease, in monotonic ms.
   * Renewals extend it.
   */
  validUntil: number;
}

/** Dependencies of [[LeaseManager]]. */
export interface LeaseParts {
  log: Log;
  timer: Timer;
  logger: Logger;
  /** Name of this process; no earlier process may have had the same name. */
  holder: string;
  /** Term of a lease in ms. All instances must use the same value. */
  termMs: number;
  /**
   * Rank of this instance among the candidates for a pool's lease, from 0;
   * undefined if it is not a candidate.
   */
  rankOf(pool: string): number | undefined;
}

interface TrackedLease extends HeldLease {
  /**
   * The table in which the grant was found valid. A follower that restarts has
   * a new table, and the lease is then dropped.
   */
  table: LeaseTable;
}

/**
 * Acquires, renews and releases the leases of pools through the log. One loop
 * handles all pools, and one record renews every lease that is held.
 */
export class LeaseManager {
  /** Numbers of records appended, leases acquired and leases lost. */
  readonly usage = {appends: 0, acquired: 0, lost: 0};
  private readonly follower: LeaseFollower;
  private readonly leases = new Map<string, TrackedLease>();
  private readonly stopController = new AbortController();
  private pools: string[] = [];
  /** When the last successful renewal was sent, in monotonic ms. */
  private renewedAt = 0;
  /** After a failure, no lease is requested before this, in monotonic ms. */
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
   * The lease of a pool if this instance holds it now. It may expire or be lost
   * at any time, so callers must check again right before each use.
   */
  held(pool: string): HeldLease | undefined {
    const lease = this.leases.get(pool);
    if (lease === undefined) return undefined;
    return this.parts.timer.now() < lease.validUntil ? lease : undefined;
  }

  /** The holder of a pool's lease, according to the records read so far. */
  holderOf(pool: string): string | undefined {
    const lease = this.follower.current()?.lease(pool);
    return lease?.released === false ? lease.holder : undefined;
  }

  /** Starts acquiring and renewing leases. */
  start(): void {
    this.loop ??= this.run();
  }

  /**
   * Stops the loop and releases every lease. Callers must first finish or cancel
   * every order in flight.
   */
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

  /**
   * Reads the lease stream only while this instance is a candidate for a pool
   * or holds a lease.
   */
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
      this.parts.logger.warn({pool, fencing}, 'Lost the lease.');
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
      this.parts.logger.warn({failure}, 'Could not renew the leases.');
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
      // The log would most likely fail for the next pool as well.
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
    // Candidates wait by rank, so that usually only one of them sends a grant.
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

  /** Requests a lease. Returns false only if the log failed. */
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
      logger.warn(
        {pool, failure: granted.error},
        'Could not request the lease.',
      );
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
    logger.info({pool, fencing}, 'Acquired the lease.');
    return true;
  }

  private heldLeases(): Array<{pool: string; fencing: number}> {
    return [...this.leases.values()].map(({pool, fencing}) => ({
      pool,
      fencing,
    }));
  }
}
