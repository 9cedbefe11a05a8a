import {createHash} from 'node:crypto';
import type {Timer} from '../timer/index.js';

/** Instances of the fleet that contend for leases at most. */
const CANDIDATES_LIMIT = 24;
const REFRESH_PERIOD_MS = 1_000;

/**
 * Chooses which live instances contend for leases, and in which order for each
 * pool. Only they read the stream, so its cost does not grow with the fleet.
 * Instances that disagree on who is alive at worst contend together.
 */
export class LeaseCandidates {
  private names: string[] = [];
  private refreshedAt?: number;
  private readonly hashes = new Map<string, string>();

  constructor(
    private readonly self: string,
    /** Names of the live instances, this one included. */
    private readonly live: () => string[],
    private readonly timer: Timer,
  ) {}

  /** Rank of this instance for a pool, from 0; undefined if it is none. */
  rankOf(pool: string): number | undefined {
    this.refresh();
    if (!this.names.includes(this.self)) return undefined;
    const own = this.hashOf(`${pool}/${this.self}`);
    return this.names.filter(name => this.hashOf(`${pool}/${name}`) < own)
      .length;
  }

  private refresh(): void {
    const now = this.timer.now();
    if (now - (this.refreshedAt ?? -Infinity) < REFRESH_PERIOD_MS) return;
    this.refreshedAt = now;
    const live = this.live();
    const kept = new Set(live);
    if (this.names.some(name => !kept.has(name))) this.hashes.clear();
    this.names = live
      .sort((a, b) => (this.hashOf(a) < this.hashOf(b) ? -1 : 1))
      .slice(0, CANDIDATES_LIMIT);
  }

  private hashOf(text: string): string {
    const known = this.hashes.get(text);
    if (known !== undefined) return known;
    const hash = createHash('sha256').update(text).digest('hex');
    this.hashes.set(text, hash);
    return hash;
  }
}
