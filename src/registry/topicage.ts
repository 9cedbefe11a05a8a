import type {Timer} from '../timer/index.js';

/**
 * Age of a topic above which the store counts as having been unreachable, in
 * ms. Instances that rely on a reader exceed it only when it fails, too.
 */
const MAX_REACHABLE_AGE_MS = 2_500;

/** When a topic was last known to be current, and by whose read. */
export class TopicAge {
  /** In monotonic ms; undefined before the first read. */
  currentAt?: number;
  /** Instance whose read told so. */
  reader = '';
  /** When that read began, as far as known, in monotonic ms. */
  readSince = -Infinity;
  /** Since when the topic has been current without a long gap. */
  private reachableSince?: number;

  constructor(private readonly timer: Timer) {}

  /** Ms since the topic was known to be current; undefined before. */
  ms(): number | undefined {
    return this.currentAt === undefined
      ? undefined
      : Math.round(this.timer.now() - this.currentAt);
  }

  /** Ms since the topic has been current without a long gap; 0 if it isn't. */
  reachableForMs(): number {
    const now = this.timer.now();
    if (this.reachableSince === undefined || this.currentAt === undefined) {
      return 0;
    }
    if (now - this.currentAt > MAX_REACHABLE_AGE_MS) return 0;
    return now - this.reachableSince;
  }

  /**
   * Notes that the topic was known to be current at `at`, by a read that began at
   * `since`. Returns whether that is newer than what was known.
   */
  noteCurrent(at: number, reader: string, since: number): boolean {
    const {currentAt} = this;
    if (currentAt !== undefined && at < currentAt) return false;
    if (currentAt === undefined || at - currentAt > MAX_REACHABLE_AGE_MS) {
      this.reachableSince = at;
    }
    this.reachableSince ??= at;
    this.currentAt = at;
    this.reader = reader;
    this.readSince = since;
    return true;
  }

  /** Counts the store as unreachable until the topic is current again. */
  interrupt(): void {
    this.reachableSince = undefined;
  }
}
