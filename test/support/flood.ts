import type {Socket} from 'node:net';

/** Bytes that a flood writes at a time. */
const WRITE_BYTES = 16 * 1024;

/** Bytes that an upstream sends without end on one connection. */
export class Flood {
  /** Whether the receiver closed the connection. */
  closed = false;
  private readonly bytes: Buffer;

  constructor(
    private readonly socket: Socket,
    unit: string,
  ) {
    const repeats = Math.ceil(WRITE_BYTES / unit.length);
    this.bytes = Buffer.from(unit.repeat(repeats), 'latin1');
    socket.on('close', () => {
      this.closed = true;
    });
    socket.on('drain', () => this.write());
    this.write();
  }

  private write(): void {
    if (this.closed || this.socket.destroyed) return;
    if (this.socket.write(this.bytes)) setImmediate(() => this.write());
  }
}
