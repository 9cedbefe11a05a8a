/** Limits the blocks remembered for one upstream. */
const MAX_CACHED_BLOCKS = 4_096;
/** Confidence in blocks last confirmed before events were missed. */
const UNCERTAIN_CONFIDENCE = 0.5;

/** The leading blocks of a prompt that are expected in a prefix cache. */
export interface CacheMatch {
  /** Number of leading blocks. */
  blocks: number;
  /** Fraction of these blocks to count as cached, 0 to 1. */
  confidence: number;
}

const NO_MATCH: CacheMatch = {blocks: 0, confidence: 0};

/**
 * The prompt blocks, as hashes, that an upstream is expected to have in its
 * prefix cache. Blocks are added after this instance's own attempts and by
 * cache events. After a gap in the events, blocks added earlier are kept but
 * count as uncertain until they are stored again.
 */
export class CachedBlocks {
  /**
   * Epoch in which each block was last confirmed, least recently stored first.
   * A new epoch starts at each gap in the cache events.
   */
  private readonly epochs = new Map<string, number>();
  private epoch = 0;

  get size(): number {
    return this.epochs.size;
  }

  /**
   * Records that the blocks of a prompt are cached now. They are added last to
   * first, so that the end of a prefix is dropped before its start.
   */
  store(blocks: readonly string[]): void {
    for (let index = blocks.length - 1; index >= 0; index--) {
      const block = blocks[index] ?? '';
      this.epochs.delete(block);
      this.epochs.set(block, this.epoch);
    }
    this.evictLeastRecentlyUsed();
  }

  /** Records that the upstream evicted blocks. */
  evict(blocks: readonly string[]): void {
    for (const block of blocks) this.epochs.delete(block);
  }

  /** Marks all blocks as uncertain, because cache events were missed. */
  markUncertain(): void {
    this.epoch++;
  }

  /** Removes all blocks, such as after a restart of the upstream. */
  clear(): void {
    this.epochs.clear();
  }

  /**
   * Returns the leading blocks expected in the cache. Engines evict the end of
   * a prefix before its start, so a binary search finds how much is left.
   */
  match(blocks: readonly string[]): CacheMatch {
    let low = 0;
    let high = blocks.length;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.epochs.has(blocks[middle - 1] ?? '')) low = middle;
      else high = middle - 1;
    }
    if (low === 0) return NO_MATCH;
    const lastConfirmed = this.epochs.get(blocks[low - 1] ?? '');
    return {
      blocks: low,
      confidence: lastConfirmed === this.epoch ? 1 : UNCERTAIN_CONFIDENCE,
    };
  }

  private evictLeastRecentlyUsed(): void {
    for (const block of this.epochs.keys()) {
      if (this.epochs.size <= MAX_CACHED_BLOCKS) return;
      this.epochs.delete(block);
    }
  }
}
