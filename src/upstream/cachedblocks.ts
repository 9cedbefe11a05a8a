/** Blocks remembered for one upstream at most. */
const BLOCKS_LIMIT = 4_096;
/** Share of a doubtful block's tokens that is counted on. */
const DOUBTFUL_SHARE = 0.5;

/** Leading blocks of a prompt expected in a cache. */
export interface CacheMatch {
  blocks: number;
  /** Share of these blocks that is counted on, 0 to 1. */
  confidence: number;
}

const NO_MATCH: CacheMatch = {blocks: 0, confidence: 0};

/**
 * The prompt blocks that an upstream is expected to hold in its prefix cache.
 * Blocks are learnt from this instance's own attempts and from cache events.
 * After a gap in the events every block learnt before is doubtful until it is
 * seen again; it is not forgotten.
 */
export class CachedBlocks {
  /** The era a block was last confirmed in, least recently used first. */
  private readonly eras = new Map<string, number>();
  private era = 0;

  get size(): number {
    return this.eras.size;
  }

  /** Takes in that the blocks of a prompt are cached now. */
  store(blocks: readonly string[]): void {
    for (let index = blocks.length - 1; index >= 0; index--) {
      const block = blocks[index] ?? '';
      this.eras.delete(block);
      this.eras.set(block, this.era);
    }
    this.shrink();
  }

  evict(blocks: readonly string[]): void {
    for (const block of blocks) this.eras.delete(block);
  }

  /** Makes every block doubtful, because changes of the cache were missed. */
  markUncertain(): void {
    this.era++;
  }

  /** Forgets everything, such as after a restart of the upstream. */
  clear(): void {
    this.eras.clear();
  }

  /**
   * Finds the leading blocks expected in the cache. Engines evict the end of
   * a prefix before its start, so a binary search finds the end.
   */
  match(blocks: readonly string[]): CacheMatch {
    let low = 0;
    let high = blocks.length;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.eras.has(blocks[middle - 1] ?? '')) low = middle;
      else high = middle - 1;
    }
    if (low === 0) return NO_MATCH;
    const era = this.eras.get(blocks[low - 1] ?? '');
    return {blocks: low, confidence: era === this.era ? 1 : DOUBTFUL_SHARE};
  }

  private shrink(): void {
    for (const block of this.eras.keys()) {
      if (this.eras.size <= BLOCKS_LIMIT) return;
      this.eras.delete(block);
    }
  }
}
