import type {Route} from '../route/index.js';
import type {Subscription, Timer} from '../timer/index.js';
import {StopCause} from './deadline.js';
import type {Endpoint} from './endpoint.js';

/** Period of the check for silence, in ms. */
const CHECK_MS = 100;
/** Shortest silence after which an engine is probed, in ms. */
const MIN_ENGINE_SILENCE_MS = 800;
/** Silence after which an engine is probed, as a multiple of prefill time. */
const PREFILL_FACTOR = 3;
/** Silence of other upstreams that expires, as a multiple of the target. */
const PLAIN_TARGET_FACTOR = 1.5;

/** Options of [[SilenceWatchdog]]. */
export interface SilenceWatchdogSpec {
  timer: Timer;
  endpoint: Endpoint;
  route: Route;
  /** Estimated prefill time of the prompt, in ms. */
  prefillMs: number;
  /** Whether to watch at all: the request could still be retried. */
  active: boolean;
  /** Probes the upstream on another connection. */
  isAlive(): Promise<boolean>;
}

/**
 * Aborts an attempt when its upstream sends nothing on any connection for too
 * long. An upstream that still responds to other requests is only busy.
 */
export class SilenceWatchdog {
  private readonly controller = new AbortController();
  private readonly tick?: Subscription;
  private silentSince: number;
  private probing = false;
  /** Whether the upstream was silent for too long. */
  expired = false;

  constructor(private readonly spec: SilenceWatchdogSpec) {
    this.silentSince = spec.timer.now();
    if (spec.active) this.tick = spec.timer.every(CHECK_MS, () => this.check());
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  end(): void {
    this.tick?.end();
  }

  private check(): void {
    const {timer, endpoint} = this.spec;
    const lastHeardAt = Math.max(this.silentSince, endpoint.lastHeardAt);
    if (this.probing || timer.now() - lastHeardAt < this.limitMs()) return;
    if (this.spec.route.streaming) void this.probe();
    else this.expire();
  }

  /** Probes an engine, since a busy one may be silent for long. */
  private async probe(): Promise<void> {
    this.probing = true;
    const alive = await this.spec.isAlive();
    this.probing = false;
    this.silentSince = this.spec.timer.now();
    if (!alive) this.expire();
  }

  private expire(): void {
    this.expired = true;
    this.end();
    this.controller.abort(StopCause.Silent);
  }

  private limitMs(): number {
    const {route, prefillMs} = this.spec;
    if (!route.streaming) return route.targetMs * PLAIN_TARGET_FACTOR;
    return Math.max(MIN_ENGINE_SILENCE_MS, prefillMs * PREFILL_FACTOR);
  }
}
