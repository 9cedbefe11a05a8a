import type {Socket} from 'node:net';
import type {SharedLink} from './sharedlink.js';

/** Faults a proxy injects into the traffic of one source. */
export interface Faults {
  /** Delay of every chunk, each way, in ms. */
  delayMs: number;
  /** Capacity each way in bytes per second; 0 is without limit. */
  bytesPerSecond: number;
  /** While true, traffic is lost: connections neither open nor answer. */
  blackholed: boolean;
  /** While true, connections are reset when they are opened. */
  refuse: boolean;
  /** Share of datagrams that are dropped. */
  dropShare: number;
  /** Shared link that requests go through, if there is one. */
  requestLink?: SharedLink;
  /** Shared link that answers go through, if there is one. */
  answerLink?: SharedLink;
}

/** Faults that change nothing. */
export const NO_FAULTS: Faults = {
  delayMs: 0,
  bytesPerSecond: 0,
  blackholed: false,
  refuse: false,
  dropShare: 0,
};

/** Timers may fire this much early. */
const TIMER_SLACK_MS = 0.5;

/** Which way a connection goes silent. */
export type SilentDirection = 'requests' | 'answers' | 'both';

/** Something to do at a time. */
interface Delivery {
  at: number;
  deliver: () => void;
}

/** One direction of a connection, with delay, capacity and silence. */
class Direction {
  silent = false;
  /** Bytes passed on so far. */
  bytes = 0;
  private busyUntil = 0;
  /** What is on its way, in order. */
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
    from.on('end', () => this.scheduleDelivery(0, () => this.end()));
  }

  private forward(chunk: Buffer): void {
    if (this.dropsTraffic || this.to.destroyed) return;
    this.bytes += chunk.length;
    this.to.write(chunk);
  }

  private end(): void {
    if (!this.dropsTraffic) this.to.end();
  }

  /** A connection that lost bytes never comes back. */
  private get dropsTraffic(): boolean {
    this.silent ||= this.faults().blackholed;
    return this.silent;
  }

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

  private arrivalTime(bytes: number, now: number): number {
    const faults = this.faults();
    const {bytesPerSecond, delayMs} = faults;
    const busyMs = bytesPerSecond > 0 ? (bytes / bytesPerSecond) * 1000 : 0;
    this.busyUntil = Math.max(now, this.busyUntil) + busyMs;
    const passedAt = this.linkOf(faults)?.transmit(bytes, now) ?? now;
    return Math.max(this.busyUntil, passedAt) + delayMs;
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

/** One proxied connection. */
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
      ({requestLink: requestPipe}) => requestPipe,
    );
    this.answers = new Direction(
      target,
      client,
      faults,
      ({answerLink: answerPipe}) => answerPipe,
    );
    client
      .on('error', () => this.closeAfterError())
      .on('close', () => {
        if (!this.requests.silent) target.destroy();
      });
    target
      .on('error', () => this.closeAfterError())
      .on('close', () => {
        if (!this.answers.silent) client.destroy();
      });
  }

  silence(which: SilentDirection): void {
    if (which !== 'answers') this.requests.silent = true;
    if (which !== 'requests') this.answers.silent = true;
  }

  reset(): void {
    this.client.resetAndDestroy();
    this.target.resetAndDestroy();
  }

  private closeAfterError(): void {
    if (this.answers.silent || this.requests.silent) return;
    this.client.destroy();
    this.target.destroy();
  }
}
