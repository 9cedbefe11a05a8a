import type {Route} from '../route/index.js';
import type {Subscription, Timer} from '../timer/index.js';
import type {Endpoint} from './endpoint.js';

/** How often silence is looked at, in ms. */
const LOOK_MS = 100;
/** Shortest silence of an engine that counts, in ms. */
const ENGINE_MINIMUM_MS = 800;
/** Silence that counts, in times of reading the prompt. */
const READING_FACTOR = 3;
/** Silence of a plain service that counts, in times of the route's target. */
const PLAIN_TARGET_FACTOR = 1.5;

/** What a [[Silence]] watches. */
export interface SilenceSpec {
  timer: Timer;
  endpoint: Endpoint;
  route: Route;
  /** Time the upstream needs to read the prompt, in ms. */
  prefillMs: number;
  /** Whether the request could go to another upstream. */
  enabled: boolean;
  /** Asks the upstream on another connection whether it is there. */
  isAlive(): Promise<boolean>;
}

/**
 * Breaks an attempt off when its upstream sends nothing to anyone for too long.
 * An upstream that others hear from is busy, not gone.
 */
export class SilenceWatchdog {
  private readonly controller = new AbortController();
  private readonly tick?: Subscription;
  private since: number;
  private asking = false;
  /** Whether the upstream was silent for too long. */
  expired = false;

  constructor(private readonly spec: SilenceSpec) {
    this.since = spec.timer.now();
    if (spec.enabled) this.tick = spec.timer.every(LOOK_MS, () => this.look());
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  end(): void {
    this.tick?.end();
  }

  private look(): void {
    const {timer, endpoint} = this.spec;
    const heardAt = Math.max(this.since, endpoint.lastHeardAt);
    if (this.asking || timer.now() - heardAt < this.limitMs()) return;
    if (this.spec.route.streaming) void this.ask();
    else this.expire();
  }

  /** A busy engine may be silent for long; only a dead one is given up. */
  private async ask(): Promise<void> {
    this.asking = true;
    const alive = await this.spec.isAlive();
    this.asking = false;
    this.since = this.spec.timer.now();
    if (!alive) this.expire();
  }

  private expire(): void {
    this.expired = true;
    this.end();
    this.controller.abort();
  }

  private limitMs(): number {
    const {route, prefillMs: readingMs} = this.spec;
    if (!route.streaming) return route.targetMs * PLAIN_TARGET_FACTOR;
    return Math.max(ENGINE_MINIMUM_MS, readingMs * READING_FACTOR);
  }
}
