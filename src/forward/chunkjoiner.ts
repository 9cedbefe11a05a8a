import {ByteCollector} from './bytes.js';

/** Chunks from this size on cost more to copy than to pass on, in bytes. */
const LARGE_CHUNK_BYTES = 4 * 1024;

/**
 * Joins the small chunks that one read of a connection brings, as each piece that
 * is passed on costs far more than its bytes.
 */
export class ChunkJoiner {
  private first: Buffer | undefined;
  /** All chunks of a read that brought several. */
  private joined: ByteCollector | undefined;

  constructor(
    /** Takes the bytes of a read, in the same turn of the event loop. */
    private readonly pass: (bytes: Buffer) => void,
    /** Called with what `pass` throws, which nothing else would catch. */
    private readonly fail: (cause: unknown) => void,
  ) {}

  get isEmpty(): boolean {
    return this.first === undefined && this.joined === undefined;
  }

  push(chunk: Buffer): void {
    if (chunk.length >= LARGE_CHUNK_BYTES) {
      this.flush();
      this.first = chunk;
      this.flush();
      return;
    }
    if (this.isEmpty) {
      this.first = chunk;
      queueMicrotask(this.flush);
      return;
    }
    this.joined ??= new ByteCollector();
    if (this.first !== undefined) this.joined.push(this.first);
    this.first = undefined;
    this.joined.push(chunk);
  }

  /** Passes on what has been joined so far. */
  readonly flush = (): void => {
    const bytes = this.first ?? this.joined?.take();
    this.first = undefined;
    this.joined = undefined;
    if (bytes === undefined) return;
    try {
      this.pass(bytes);
    } catch (cause) {
      this.fail(cause);
    }
  };
}
