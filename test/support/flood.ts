import type {Socket} from 'node:net';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Bytes that a flood writes at a time. */
const WRITE_BYTES = 16 * 1024;
/** Time between samples of the memory, in ms. */
const SAMPLE_MS = 5;

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

/** Samples the memory that this process uses, in bytes. */
export class MemorySampler {
  private highest = 0;
  private readonly first: number;
  private readonly timer = setInterval(() => {
    this.highest = Math.max(this.highest, memoryBytes());
  }, SAMPLE_MS);

  constructor() {
    setFlagsFromString('--expose-gc');
    const collectGarbage = runInNewContext('gc') as () => void;
    collectGarbage();
    this.first = memoryBytes();
  }

  /** Ends the sampling; returns the largest growth, in bytes. */
  end(): number {
    clearInterval(this.timer);
    return this.highest - this.first;
  }
}

function memoryBytes(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}
