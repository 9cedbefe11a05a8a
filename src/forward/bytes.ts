/** Capacity of the first block, in bytes. */
const MIN_BLOCK_BYTES = 1024;
/** Capacity of the blocks of long bodies, in bytes. */
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Blocks that are used again, since memory outside of the heap that is no
 * longer used may stay allocated for long.
 */
export class BlockPool {
  private readonly unused: Buffer[] = [];

  take(bytes: number): Buffer {
    const used = bytes === MAX_BLOCK_BYTES ? this.unused.pop() : undefined;
    return used ?? Buffer.allocUnsafeSlow(bytes);
  }

  /** Takes blocks back that nothing refers to anymore. */
  give(blocks: readonly Buffer[]): void {
    for (const block of blocks) {
      if (block.length === MAX_BLOCK_BYTES) this.unused.push(block);
    }
  }
}

/**
 * Collects chunks into few blocks of memory, since a list of many small chunks
 * takes far more memory than their bytes.
 */
export class ByteCollector {
  private readonly blocks: Buffer[] = [];
  private size = 0;
  /** Unused bytes of the last block. */
  private free = 0;

  /** `pool`: where blocks come from and return to. */
  constructor(private readonly pool = new BlockPool()) {}

  get length(): number {
    return this.size;
  }

  /** Memory that collecting `bytes` more bytes allocates, in bytes. */
  growthFor(bytes: number): number {
    if (bytes <= this.free) return 0;
    const doubled = Math.max(MIN_BLOCK_BYTES, this.size);
    return Math.max(bytes - this.free, Math.min(MAX_BLOCK_BYTES, doubled));
  }

  push(chunk: Buffer): void {
    const last = this.blocks.at(-1);
    const fitting = Math.min(this.free, chunk.length);
    if (last !== undefined) {
      chunk.copy(last, last.length - this.free, 0, fitting);
    }
    const capacity = this.growthFor(chunk.length);
    if (capacity > 0) {
      const block = this.pool.take(capacity);
      chunk.copy(block, 0, fitting);
      this.blocks.push(block);
    }
    this.free += capacity - chunk.length;
    this.size += chunk.length;
  }

  /** Returns the collected bytes, and starts anew. */
  take(): Buffer {
    const [first, ...others] = this.blocks;
    if (first !== undefined && others.length === 0) {
      const bytes = first.subarray(0, this.size);
      this.reset();
      return bytes;
    }
    const bytes = Buffer.concat(this.blocks, this.size);
    this.discard();
    return bytes;
  }

  /** Forgets the collected bytes. */
  discard(): void {
    this.pool.give(this.blocks);
    this.reset();
  }

  private reset(): void {
    this.blocks.length = 0;
    this.size = 0;
    this.free = 0;
  }
}
