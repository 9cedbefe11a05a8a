import type {EngineBehaviour} from './enginebehaviour.js';
import {ReseedableRandom} from './random.js';

/** Twice as many are retained before the oldest are discarded. */
const MIN_RETAINED_EVENTS = 10_000;

/** A change of the prefix cache that the engine publishes. */
export interface CacheEvent {
  /** Increases by one with every change, also one that is never published. */
  sequence: number;
  type: 'stored' | 'evicted';
  /** Hashes of the blocks. */
  blocks: string[];
}

interface TimedEvent {
  event: CacheEvent;
  /** Monotonic ms. */
  at: number;
}

/** A page of published events. */
export interface CacheEventPage {
  events: CacheEvent[];
  /** Sequence number of the oldest retained event. */
  first: number;
  /** Sequence number from which the next page starts. */
  next: number;
}

/**
 * Publishes changes of the prefix cache as events, which it can delay by
 * `eventLagMs` and of which it can lose the share `eventGapShare`.
 */
export class CacheEvents {
  private retained: TimedEvent[] = [];
  private nextSequence = 0;
  private readonly random: ReseedableRandom;

  constructor(private readonly behaviour: EngineBehaviour) {
    this.random = new ReseedableRandom(behaviour.seed);
  }

  add(type: CacheEvent['type'], blocks: string[]): void {
    if (blocks.length === 0) return;
    const event = {sequence: this.nextSequence++, type, blocks};
    const {eventGapShare, seed} = this.behaviour;
    if (eventGapShare > 0 && this.random.next(seed) < eventGapShare) return;
    this.retained.push({event, at: performance.now()});
    if (this.retained.length >= 2 * MIN_RETAINED_EVENTS) {
      this.retained = this.retained.slice(-MIN_RETAINED_EVENTS);
    }
  }

  /** At most `limit` published events from sequence number `from` on. */
  page(from: number, limit: number): CacheEventPage {
    const until = performance.now() - this.behaviour.eventLagMs;
    const events = this.retained
      .filter(({event, at}) => event.sequence >= from && at <= until)
      .slice(0, limit)
      .map(({event}) => event);
    const last = events.at(-1);
    return {
      events,
      first: this.retained[0]?.event.sequence ?? this.nextSequence,
      next: last === undefined ? from : last.sequence + 1,
    };
  }
}

/** A cache of prompt blocks that evicts the least recently used ones. */
export class PrefixCache {
  /** Hashes of the cached blocks, the least recently used first. */
  private readonly blocks = new Set<string>();

  constructor(
    private readonly behaviour: EngineBehaviour,
    private readonly events: CacheEvents,
  ) {}

  get size(): number {
    return this.blocks.size;
  }

  has(block: string): boolean {
    return this.blocks.has(block);
  }

  /** Number of leading blocks that are cached; marks them as used. */
  match(blocks: readonly string[]): number {
    let count = 0;
    while (count < blocks.length && this.blocks.has(blocks[count] ?? '')) {
      count++;
    }
    this.markUsed(blocks.slice(0, count));
    return count;
  }

  /**
   * Stores the leading blocks that fit, and evicts the least recently used ones
   * when there are more than `cacheBlocks`.
   */
  store(blocks: readonly string[]): void {
    if (blocks.length === 0) return;
    const fitting = blocks.slice(0, this.behaviour.cacheBlocks);
    const added = fitting.filter(block => !this.blocks.has(block));
    this.markUsed(fitting);
    this.events.add('stored', added);
    this.events.add('evicted', this.evictExcess());
  }

  /**
   * Marks blocks as used, the first one last: later blocks of a prefix are
   * useless without the first, so it must be evicted last.
   */
  private markUsed(blocks: readonly string[]): void {
    for (let index = blocks.length - 1; index >= 0; index--) {
      const block = blocks[index] ?? '';
      this.blocks.delete(block);
      this.blocks.add(block);
    }
  }

  private evictExcess(): string[] {
    const evicted: string[] = [];
    for (const block of this.blocks) {
      if (this.blocks.size <= this.behaviour.cacheBlocks) break;
      this.blocks.delete(block);
      evicted.push(block);
    }
    return evicted;
  }
}
