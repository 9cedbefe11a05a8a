import type {Route} from '../route/index.js';
import type {Subscription, Timer} from '../timer/index.js';
import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';

/** Period of the check for silence, in ms. */
const CHECK_MS = 100;
/** Shortest silence after which an engine is probed, in ms. */
const MIN_ENGINE_SILENCE_MS = 800;
/** Silence after which an engine is probed, as a multiple of prefill time. */
const PREFILL_FACTOR = 3;
/** Silence of other upstreams that is reported, as a multiple of the target. */
const PLAIN_TARGET_FACTOR = 1.5;
/** Time between two reports of the same silence, in ms. */
const REPEAT_MS = 250;

/** Options of [[SilenceWatchdog]]. */
export interface SilenceWatchdogSpec {
  timer: Timer;
  endpoint: Endpoint;
  /** Connection of the request. */
  connection: Pick<Connection, 'path'>;
  route: Route;
  /** Estimated prefill time of the prompt, in ms. */
  prefillMs: number;
  /** Whether another upstream could take the request over. */
  isReplaceable(): boolean;
  /** Probes the upstream on another connection. */
  isAlive(): Promise<boolean>;
  /**
   * Time after which an answer is overdue that has not begun, in ms; undefined
   * if unknown.
   */
  overdueMs(): number | undefined;
  /** Called when there is silence, and again while it lasts. */
  onSilence(silence: Silence, silentMs: number): void;
}

/** What is silent. */
export enum Silence {
  /** The upstream, on every connection. */
  Upstream = 'upstream',
  /**
   * Only the connection of the request, for far longer than others took. The
   * connection may be lost, or the upstream may have dropped the request.
   */
  Connection = 'connection',
}

/**
 * Reports an upstream that sends nothing on any connection for too long, and an
 * answer that is overdue. An upstream that still responds to other requests is
 * only busy while answers of the route are as late.
 */
export class SilenceWatchdog {
  private readonly tick: Subscription;
  private readonly startedAt: number;
  /** When a probe was last answered, in monotonic ms. */
  private aliveAt = -Infinity;
  /** When the present silence was last reported, in monotonic ms. */
  private reportedAt?: number;
  /** When an overdue answer was last reported, in monotonic ms. */
  private overdueReportedAt = -Infinity;
  private probing = false;
  private hasAnswer = false;
  private ended = false;

  constructor(private readonly spec: SilenceWatchdogSpec) {
    this.startedAt = spec.timer.now();
    this.tick = spec.timer.every(CHECK_MS, () => this.check());
  }

  end(): void {
    this.ended = true;
    this.tick.end();
  }

  /** Notes that the answer has begun. */
  noteAnswer(): void {
    this.hasAnswer = true;
  }

  private check(): void {
    const {timer, route} = this.spec;
    const now = timer.now();
    const heardAt = this.heardAt();
    if (this.reportedAt !== undefined && heardAt > this.reportedAt) {
      this.reportedAt = undefined;
    }
    const quietSince = Math.max(heardAt, this.aliveAt);
    const isDue =
      this.reportedAt === undefined
        ? now - quietSince >= this.limitMs()
        : now - this.reportedAt >= REPEAT_MS;
    if (this.probing || !this.spec.isReplaceable()) return;
    if (!isDue) {
      if (this.reportedAt === undefined) this.checkOverdue(now);
    } else if (route.streaming && this.reportedAt === undefined) {
      // A busy engine may send nothing for long.
      void this.probe();
    } else {
      this.report();
    }
  }

  /** Reports the lack of an answer by an upstream that isn't silent. */
  private checkOverdue(now: number): void {
    const overdueMs = this.spec.overdueMs();
    if (this.hasAnswer || overdueMs === undefined) return;
    const waitedMs = now - this.startedAt;
    if (waitedMs < Math.max(this.limitMs(), overdueMs)) return;
    if (now - this.overdueReportedAt < REPEAT_MS) return;
    this.overdueReportedAt = now;
    this.spec.onSilence(Silence.Connection, waitedMs);
  }

  private async probe(): Promise<void> {
    this.probing = true;
    const probedAt = this.spec.timer.now();
    const alive = await this.spec.isAlive();
    this.probing = false;
    if (alive) this.aliveAt = this.spec.timer.now();
    // A full upstream may leave a probe waiting and yet send on.
    else if (this.heardAt() <= probedAt) this.report();
  }

  private report(): void {
    if (this.ended) return;
    const now = this.spec.timer.now();
    this.reportedAt = now;
    this.spec.onSilence(Silence.Upstream, now - this.heardAt());
  }

  /**
   * When the upstream last sent anything by the way of this request, or was sent
   * the request.
   */
  private heardAt(): number {
    const {endpoint, connection} = this.spec;
    return Math.max(this.startedAt, endpoint.lastHeardBy(connection.path));
  }

  private limitMs(): number {
    const {route, prefillMs} = this.spec;
    if (!route.streaming) return route.targetMs * PLAIN_TARGET_FACTOR;
    return Math.max(MIN_ENGINE_SILENCE_MS, prefillMs * PREFILL_FACTOR);
  }
}
