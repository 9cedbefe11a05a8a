import {createHash} from 'node:crypto';
import type {Timer} from '../timer/index.js';

/** Upper bound on the instances of a fleet that contend for leases. */
const MAX_CANDIDATES = 24;
const REFRESH_PERIOD_MS = 1_000;

/**
 * Chooses which live instances contend for leases, and ranks them for each
 * pool by a hash of pool and name. Only these candidates read the lease stream,
 * so its read load does not grow with the fleet. Instances may disagree on who
 * is alive; then more instances contend, and the lease protocol still grants
 * each lease to one of them.
 */
export class LeaseCandidates {
  private candidates: string[] = [];
  private refreshedAt?: number;
  private readonly hashes = new Map<string, string>();

  constructor(
    private readonly self: string,
    /** Names of the live instances, this one included. */
    private readonly liveInstances: () => string[],
    private readonly timer: Timer,
  ) {}

  /**
   * Rank of this instance for a pool, from 0; undefined if it is not a
   * candidate.
   */
  rankOf(pool: string): number | undefined {
    this.refresh();
    if (!this.candidates.includes(this.self)) return undefined;
    const ownHash = this.hashOf(`${pool}/${this.self}`);
    return this.candidates.filter(
      name => this.hashOf(`${pool}/${name}`) < ownHash,
    ).length;
  }

  private refresh(): void {
    const now = this.timer.now();
    if (now - (this.refreshedAt ?? -Infinity) < REFRESH_PERIOD_MS) return;
    this.refreshedAt = now;
    const live = this.liveInstances();
    const liveNames = new Set(live);
    if (this.candidates.some(name => !liveNames.has(name))) this.hashes.clear();
    this.candidates = live
      .sort((a, b) => (this.hashOf(a) < this.hashOf(b) ? -1 : 1))
      .slice(0, MAX_CANDIDATES);
  }

  private hashOf(text: string): string {
    const cached = this.hashes.get(text);
    if (cached !== undefined) return cached;
    const hash = createHash('sha256').update(text).digest('hex');
    this.hashes.set(text, hash);
    return hash;
  }
}
