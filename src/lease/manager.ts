import type {Logger} from 'pino';
import {v7 as uuidv7} from 'uuid';
import type {Log} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import {LeaseFollower} from './follower.js';
import {LEASE_STREAM} from './record.js';
import type {LeaseTable} from './table.js';

/** Parts of a term, as divisors of it. */
const TICKS_PER_TERM = 15;
const RENEWALS_PER_TERM = 3;
const MARGINS_PER_TERM = 10;

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

interface Tenure extends HeldLease {
  /** The register whose reading found the lease valid. */
  register: LeaseTable;
}

/**
 * Acquires, renews and releases the leases of pools through the log. One task
 * does it for all pools; one record renews every lease that is held.
 */
export class LeaseManager {
  /** Records appended, and leases gained and lost. */
  readonly usage = {appends: 0, gained: 0, lost: 0};
  private readonly follower: LeaseFollower;
  private readonly tenures = new Map<string, Tenure>();
  private readonly stopping = new AbortController();
  private pools: string[] = [];
  private renewedAt = 0;
  /** Monotonic ms before which no lease is asked for, after a failure. */
  private askAgainAt = 0;
  private task?: Promise<void>;

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
    const tenure = this.tenures.get(pool);
    if (tenure === undefined) return undefined;
    return this.parts.timer.now() < tenure.validUntil ? tenure : undefined;
  }

  /** Who holds the lease of a pool, as far as the log was read. */
  holderOf(pool: string): string | undefined {
    const lease = this.follower.current()?.lease(pool);
    return lease?.released === false ? lease.holder : undefined;
  }

  start(): void {
    this.task ??= this.run();
  }

  /** Releases every lease. No order may be under way any more. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.follower.stop();
    await this.task;
    const leases = this.heldLeases();
    this.tenures.clear();
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

  private get marginMs(): number {
    return this.parts.termMs / MARGINS_PER_TERM;
  }

  private async run(): Promise<void> {
    const {timer, termMs} = this.parts;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      this.follow();
      this.dropLost();
      await this.renewWhenDue();
      await this.acquireFree();
      await timer.sleep(termMs / TICKS_PER_TERM, signal);
    }
  }

  /** Reads the stream only while this instance is a candidate. */
  private follow(): void {
    const candidate = this.pools.some(
      pool => this.parts.rankOf(pool) !== undefined,
    );
    if (candidate || this.tenures.size > 0) this.follower.start();
    else this.follower.stop();
  }

  private dropLost(): void {
    const register = this.follower.current();
    const now = this.parts.timer.now();
    for (const [pool, tenure] of this.tenures) {
      const valid =
        register?.lease(pool)?.fencing === tenure.fencing &&
        register === tenure.register &&
        this.pools.includes(pool);
      if (valid && now < tenure.validUntil) continue;
      this.tenures.delete(pool);
      this.usage.lost++;
      const {fencing} = tenure;
      this.parts.logger.warn({pool, fencing}, 'Lease lost.');
    }
  }

  private async renewWhenDue(): Promise<void> {
    const {timer, termMs, holder} = this.parts;
    const askedAt = timer.now();
    const periodMs = termMs / RENEWALS_PER_TERM;
    if (this.tenures.size === 0 || askedAt - this.renewedAt < periodMs) return;
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
    this.renewedAt = askedAt;
    this.dropLost();
    for (const {pool, fencing} of leases) this.extend(pool, fencing, askedAt);
  }

  private extend(pool: string, fencing: number, askedAt: number): void {
    const tenure = this.tenures.get(pool);
    if (tenure?.fencing !== fencing) return;
    tenure.validUntil = askedAt + this.parts.termMs - this.marginMs;
  }

  private async acquireFree(): Promise<void> {
    const {timer, termMs} = this.parts;
    if (!this.follower.readable || timer.now() < this.askAgainAt) return;
    for (const pool of this.pools) {
      if (this.stopping.signal.aborted) return;
      if (this.tenures.has(pool) || !this.mayAcquire(pool)) continue;
      // A log that fails now would only fail for the next pool, too.
      if (await this.acquire(pool)) continue;
      this.askAgainAt = timer.now() + termMs / RENEWALS_PER_TERM;
      return;
    }
  }

  private mayAcquire(pool: string): boolean {
    const {holder, timer, termMs} = this.parts;
    const rank = this.parts.rankOf(pool);
    const register = this.follower.current();
    if (rank === undefined || register === undefined) return false;
    // Candidates ask one after the other, so that one grant is enough.
    const turnMs = this.marginMs * rank;
    const now = timer.now();
    if (now - this.follower.readableSince < turnMs) return false;
    return register.isFree(pool, holder, now, termMs + this.marginMs + turnMs);
  }

  /** Asks for a lease; false when the log failed. */
  private async acquire(pool: string): Promise<boolean> {
    const {holder, timer, termMs, logger} = this.parts;
    const askedAt = timer.now();
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
    const register = this.follower.current();
    const fencing = granted.value;
    if (register?.lease(pool)?.fencing !== fencing) return true;
    const until = askedAt + termMs - this.marginMs;
    const since = timer.now();
    this.tenures.set(pool, {
      pool,
      fencing,
      heldSince: since,
      validUntil: until,
      register,
    });
    this.usage.gained++;
    logger.info({pool, fencing}, 'Lease gained.');
    return true;
  }

  private heldLeases(): Array<{pool: string; fencing: number}> {
    return [...this.tenures.values()].map(({pool, fencing}) => ({
      pool,
      fencing,
    }));
  }
}
