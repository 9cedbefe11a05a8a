import type {Socket} from 'node:net';
import type {SharedLink} from './sharedlink.js';

/** What becomes of new connections that aren't refused. */
export enum Acceptance {
  Forwarded = 'forwarded',
  /** They are accepted and ended at once, in order. */
  Ended = 'ended',
  /** They are accepted and held open, in silence. */
  Held = 'held',
}

/** Network faults that a proxy injects into the traffic of a source address. */
export interface Faults {
  /**
   * Delay in ms of every TCP chunk, in both directions, and of every datagram
   * to the target.
   */
  delayMs: number;
  /** Capacity of each TCP connection and direction; 0 means unlimited. */
  bytesPerSecond: number;
  /**
   * While true, all traffic is dropped silently: connections are accepted but
   * nothing is forwarded, and they hang.
   */
  blackholed: boolean;
  /** While true, new connections are reset. */
  refuse: boolean;
  acceptance: Acceptance;
  /** Share of datagrams that are dropped, 0 to 1. */
  dropShare: number;
  /** Link to the target whose capacity is shared with other connections. */
  requestLink?: SharedLink;
  /** Link from the target whose capacity is shared with other connections. */
  answerLink?: SharedLink;
}

/** Traffic passes unchanged. */
export const NO_FAULTS: Faults = {
  delayMs: 0,
  bytesPerSecond: 0,
  blackholed: false,
  refuse: false,
  acceptance: Acceptance.Forwarded,
  dropShare: 0,
};

/** Deliveries due within this time are made at once: timers may fire early. */
const TIMER_SLACK_MS = 0.5;

/** Direction in which a connection stops forwarding without being closed. */
export type SilentDirection = 'requests' | 'answers' | 'both';

/** Data, or the end of data, to pass on at a time in monotonic ms. */
interface Delivery {
  at: number;
  deliver: () => void;
}

/**
 * One direction of a proxied connection. It delays and rate-limits the data,
 * and drops it for good once the direction is silent.
 */
class Direction {
  silent = false;
  /** Bytes forwarded so far. */
  bytes = 0;
  private busyUntil = 0;
  /** Deliveries not yet made, in order. */
  private readonly deliveries: Delivery[] = [];
  private timer?: NodeJS.Timeout;

  constructor(
    from: Socket,
    private readonly to: Socket,
    private readonly faults: () => Faults,
    private readonly linkOf: (faults: Faults) => SharedLink | undefined,
  ) {
    from.on('data', (chunk: Buffer) => {
      this.scheduleDelivery(chunk.length, () => this.forward(chunk));
    });
    from.on('end', () => {
      // A reset that is read together with the last bytes ends a socket like a
      // close. Only a socket that was reset has no remote address then.
      const isReset = from.remoteAddress === undefined;
      this.scheduleDelivery(0, () => this.end(isReset));
    });
  }

  /** Closes the receiving side once all data has arrived there. */
  close(): void {
    if (this.silent) return;
    this.scheduleDelivery(0, () => {
      if (!this.silent) this.to.destroySoon();
    });
  }

  private forward(chunk: Buffer): void {
    if (this.dropsTraffic || this.to.destroyed) return;
    this.bytes += chunk.length;
    this.to.write(chunk);
  }

  private end(isReset: boolean): void {
    if (this.dropsTraffic) return;
    if (isReset) this.to.resetAndDestroy();
    else this.to.end();
  }

  /**
   * Whether data is dropped. A direction that was blackholed once stays silent,
   * since the TCP stream has lost bytes.
   */
  private get dropsTraffic(): boolean {
    this.silent ||= this.faults().blackholed;
    return this.silent;
  }

  /** Delivers when the bytes have arrived, which may be at once. */
  private scheduleDelivery(bytes: number, deliver: () => void): void {
    const now = performance.now();
    const at = this.arrivalTime(bytes, now);
    if (at <= now && this.deliveries.length === 0) {
      deliver();
      return;
    }
    this.deliveries.push({at, deliver});
    this.startTimer(now);
  }

  /** When bytes sent `now` arrive, in monotonic ms; reserves link capacity. */
  private arrivalTime(bytes: number, now: number): number {
    const faults = this.faults();
    const {bytesPerSecond, delayMs} = faults;
    const transmissionMs =
      bytesPerSecond > 0 ? (bytes / bytesPerSecond) * 1000 : 0;
    this.busyUntil = Math.max(now, this.busyUntil) + transmissionMs;
    const transmittedAt = this.linkOf(faults)?.transmit(bytes, now) ?? now;
    return Math.max(this.busyUntil, transmittedAt) + delayMs;
  }

  private startTimer(now: number): void {
    const next = this.deliveries[0];
    if (next === undefined || this.timer !== undefined) return;
    this.timer = setTimeout(() => this.deliverDue(), next.at - now);
  }

  private deliverDue(): void {
    delete this.timer;
    const now = performance.now();
    while ((this.deliveries[0]?.at ?? Infinity) <= now + TIMER_SLACK_MS) {
      this.deliveries.shift()?.deliver();
    }
    this.startTimer(now);
  }
}

/** A client connection and the connection to the target it is forwarded to. */
export class ProxiedConnection {
  readonly requests: Direction;
  readonly answers: Direction;

  constructor(
    readonly source: string,
    private readonly client: Socket,
    private readonly target: Socket,
    faults: () => Faults,
  ) {
    this.requests = new Direction(
      client,
      target,
      faults,
      ({requestLink}) => requestLink,
    );
    this.answers = new Direction(
      target,
      client,
      faults,
      ({answerLink}) => answerLink,
    );
    client
      .on('error', () => this.closeAfterError())
      .on('close', () => this.requests.close());
    target
      .on('error', () => this.closeAfterError())
      .on('close', () => this.answers.close());
  }

  /** Stops forwarding for good, without closing the connection. */
  silence(which: SilentDirection): void {
    if (which !== 'answers') this.requests.silent = true;
    if (which !== 'requests') this.answers.silent = true;
  }

  /** Resets the connections to the client and to the target. */
  reset(): void {
    this.client.resetAndDestroy();
    this.target.resetAndDestroy();
  }

  /** Resets both connections, unless a silent one must be left hanging. */
  private closeAfterError(): void {
    if (this.answers.silent || this.requests.silent) return;
    this.reset();
  }
}
