/** Capacity of the first allocation, in bytes. */
const MIN_CAPACITY_BYTES = 1024;

/**
 * Collects chunks into one block of memory, since a list of many small chunks
 * takes far more memory than their bytes.
 */
export class ByteCollector {
  private block: Buffer = Buffer.alloc(0);
  private size = 0;

  get length(): number {
    return this.size;
  }

  push(chunk: Buffer): void {
    const needed = this.size + chunk.length;
    if (needed > this.block.length) {
      const capacity = Math.max(needed, MIN_CAPACITY_BYTES, 2 * this.size);
      const block = Buffer.allocUnsafeSlow(capacity);
      this.block.copy(block, 0, 0, this.size);
      this.block = block;
    }
    chunk.copy(this.block, this.size);
    this.size = needed;
  }

  /** Returns the collected bytes, and starts anew. */
  take(): Buffer {
    const bytes = this.block.subarray(0, this.size);
    this.block = Buffer.alloc(0);
    this.size = 0;
    return bytes;
  }
}
