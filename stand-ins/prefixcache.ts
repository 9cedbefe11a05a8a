import type {EngineBehaviour} from './enginebehaviour.js';
import {ReseedableRandom} from './random.js';

const MIN_RETAINED_EVENTS = 10_000;

/** A change of the prefix cache, as the engine publishes it. */
export interface CacheEvent {
  /** Grows by one with every change, also with those never published. */
  sequence: number;
  type: 'stored' | 'evicted';
  /** Hashes of the blocks. */
  blocks: string[];
}

interface TimedEvent {
  event: CacheEvent;
  at: number;
}

/** A run of published events. */
export interface CacheEventPage {
  events: CacheEvent[];
  /** Sequence number of the oldest event still kept. */
  first: number;
  /** Sequence number to read from next. */
  next: number;
}

/** Publishes changes of the cache late and with gaps. */
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

  /** Events from a sequence number on that are old enough to be seen. */
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

/** Caches blocks of prompts, evicting those not used for longest. */
export class PrefixCache {
  /** Hashes of blocks, the least recently used first. */
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

  /** Number of leading blocks that are cached; counts as a use of them. */
  match(blocks: readonly string[]): number {
    let count = 0;
    while (count < blocks.length && this.blocks.has(blocks[count] ?? '')) {
      count++;
    }
    this.markUsed(blocks.slice(0, count));
    return count;
  }

  /** Stores blocks, and evicts others when memory is short. */
  store(blocks: readonly string[]): void {
    if (blocks.length === 0) return;
    const fitting = blocks.slice(0, this.behaviour.cacheBlocks);
    const added = fitting.filter(block => !this.blocks.has(block));
    this.markUsed(fitting);
    this.events.add('stored', added);
    this.events.add('evicted', this.evictExcess());
  }

  /** Makes the first block the most recently used, so that it stays longest. */
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
