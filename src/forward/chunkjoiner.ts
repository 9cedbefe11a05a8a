import {ByteCollector} from './bytes.js';

/**
 * Joins the chunks that one read of a connection brings, as each piece that is
 * passed on costs far more than its bytes.
 */
export class ChunkJoiner {
  private first?: Buffer;
  /** All chunks of a read that brought several. */
  private readonly joined = new ByteCollector();

  /** `pass`: takes the bytes of a read, in the same turn of the event loop. */
  constructor(private readonly pass: (bytes: Buffer) => void) {}

  get isEmpty(): boolean {
    return this.first === undefined && this.joined.length === 0;
  }

  push(chunk: Buffer): void {
    if (this.isEmpty) {
      this.first = chunk;
      queueMicrotask(this.flush);
      return;
    }
    if (this.first !== undefined) this.joined.push(this.first);
    delete this.first;
    this.joined.push(chunk);
  }

  /** Passes on what has been joined so far. */
  readonly flush = (): void => {
    if (this.isEmpty) return;
    const bytes = this.first ?? this.joined.take();
    delete this.first;
    this.pass(bytes);
  };
}
