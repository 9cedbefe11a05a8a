import type {Timer} from '../timer/index.js';

/** Chunks below this size, in bytes, cost far more to read than their bytes. */
const SMALL_CHUNK_BYTES = 64;
/** Small chunks that any body may have. */
const MIN_SMALL_CHUNKS = 1_000;
/** Small chunks of all bodies that are read at once. */
const MAX_BURST = 50_000;
/** Small chunks of all bodies that are read a second. */
const CHUNKS_PER_SECOND = 50_000;
/** Time after which a single body is read as it comes again, in ms. */
const CALM_MS = 10_000;

/** Small chunks of one body. */
export interface ChunkCount {
  /** Counts a chunk; false if the body has to yield. */
  add(bytes: number): boolean;
  /** Whether the body has come in many small chunks so far. */
  readonly isSmall: boolean;
  end(): void;
}

/**
 * Limits the processor time that bodies in very small chunks take. Beyond the
 * limit, a body with many of them has to yield; in calm, a single one doesn't.
 */
export class ChunkLimit {
  /** Bodies with small chunks that are being received. */
  private bodies = 0;
  private left = MAX_BURST;
  private refilledAt: number;
  /** When a body last had to yield, in monotonic ms. */
  private yieldedAt = -Infinity;

  constructor(private readonly timer: Pick<Timer, 'now'>) {
    this.refilledAt = timer.now();
  }

  /** Begins to count the chunks of a body. */
  open(): ChunkCount {
    let bytes = 0;
    let chunks = 0;
    let smallChunks = 0;
    return {
      add: size => {
        bytes += size;
        chunks++;
        if (size >= SMALL_CHUNK_BYTES) return true;
        if (smallChunks === 0) this.bodies++;
        smallChunks++;
        return this.takeOne() || smallChunks <= MIN_SMALL_CHUNKS;
      },
      get isSmall() {
        return (
          smallChunks > MIN_SMALL_CHUNKS && bytes < chunks * SMALL_CHUNK_BYTES
        );
      },
      end: () => {
        if (smallChunks > 0) this.bodies--;
        smallChunks = 0;
      },
    };
  }

  private takeOne(): boolean {
    this.left--;
    if (this.left >= 0) return true;
    const now = this.timer.now();
    const added = ((now - this.refilledAt) / 1_000) * CHUNKS_PER_SECOND;
    this.refilledAt = now;
    this.left = Math.min(MAX_BURST, added);
    if (this.left >= 1) return true;
    const isCalm = now - this.yieldedAt > CALM_MS;
    if (isCalm && this.bodies === 1) return true;
    this.yieldedAt = now;
    return false;
  }
}
