import type {Timer} from '../timer/index.js';

/**
 * Time after a stall for which the origin of a stream may be missing that was told
 * during it, in ms: until streams of that time aren't taken up anymore.
 */
const MEMORY_MS = 30_000;

/** Dependencies of [[MissedTells]]. */
export interface MissedTellsParts {
  timer: Timer;
  /** Services whose instances tell each other where streams begin. */
  mixedServices(this: void): string[];
  /** Whether the entries of the upstreams were read since, in monotonic ms. */
  hasReadSince(this: void, at: number): boolean;
}

/**
 * Knows for which services this process may have missed where streams began, as
 * it stood still. Instances tell that only while a service has several software
 * versions: a stall is without effect if the entries that were read after it
 * still show one.
 */
export class MissedTells {
  /** End of the last stall, in monotonic ms. */
  private stalledAt = -Infinity;
  /** Whether it isn't known yet which services it concerns. */
  private isPending = false;
  /** End of the last stall that concerns a service, in monotonic ms. */
  private readonly missedAt = new Map<string, number>();

  constructor(private readonly parts: MissedTellsParts) {}

  /** Notes that this process stood still until now. */
  noteStall(): void {
    this.stalledAt = this.parts.timer.now();
    this.isPending = true;
  }

  /**
   * Decides which services a stall concerns, once entries were read after it. To
   * be called before entries are applied, as a version may join with them.
   */
  settle(): void {
    const {hasReadSince, mixedServices} = this.parts;
    if (!this.isPending || !hasReadSince(this.stalledAt)) return;
    this.isPending = false;
    for (const service of mixedServices()) {
      this.missedAt.set(service, this.stalledAt);
    }
  }

  /** Whether the origin of a stream of a service may be missing here. */
  mayConcern(service: string): boolean {
    this.settle();
    const missedAt = this.missedAt.get(service) ?? -Infinity;
    const at = this.isPending ? this.stalledAt : missedAt;
    return this.parts.timer.now() - at <= MEMORY_MS;
  }

  /** Time since the last stall, in ms; infinite if there was none. */
  ageMs(): number {
    return this.parts.timer.now() - this.stalledAt;
  }
}
