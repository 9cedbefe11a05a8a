import type {SpeedEstimate} from './placement.js';

/** Assumed prefill speed before the first sample, in tokens per ms; low. */
const INITIAL_PREFILL_TOKENS_PER_MS = 30;
/** Assumed time of a request without a prompt before the first sample. */
const INITIAL_PLAIN_REQUEST_MS = 30;
/** Weight of the newest sample in smoothed times. */
const SAMPLE_WEIGHT = 0.1;
/** Weight of a faster sample; high, since queueing only adds time. */
const FASTER_WEIGHT = 0.5;
/** Weight of a slower sample. */
const SLOWER_WEIGHT = 0.01;
/** Fewest uncached tokens for a sample of the prefill speed. */
const MIN_SAMPLE_TOKENS = 1_500;
/** Weight of the newest request in the smoothed prefill demand. */
const DEMAND_WEIGHT = 0.04;
/** Factor of reserved upstreams over the pause-sensitive share of demand. */
const RESERVED_HEADROOM = 1.5;
/** Largest share of upstreams reserved for pause-sensitive requests. */
const MAX_RESERVED_SHARE = 0.5;

/** Estimates speeds and demand of one service from completed requests. */
export class SpeedEstimator {
  private prefillTokensPerMs = INITIAL_PREFILL_TOKENS_PER_MS;
  private plainRequestMs = INITIAL_PLAIN_REQUEST_MS;
  private sensitivePrefillMs = 0;
  private otherPrefillMs = 0;
  private readonly durationMsByRoute = new Map<string, number>();

  /** Current estimate for a service with `upstreams` upstreams. */
  estimate(upstreams: number): SpeedEstimate {
    return {
      prefillTokensPerMs: this.prefillTokensPerMs,
      plainRequestMs: this.plainRequestMs,
      reservedCount: this.reservedCount(upstreams),
    };
  }

  /** Records the time of a request with a buffered response, in ms. */
  observePlain(ms: number): void {
    this.plainRequestMs += SAMPLE_WEIGHT * (ms - this.plainRequestMs);
  }

  /** Records the time from sending to the end of a stream, in ms. */
  observe(routeName: string, ms: number): void {
    const smoothedMs = this.durationMsByRoute.get(routeName) ?? ms;
    this.durationMsByRoute.set(
      routeName,
      smoothedMs + SAMPLE_WEIGHT * (ms - smoothedMs),
    );
  }

  /** Mean duration of the streams of a route, in ms; 0 without a sample. */
  expectedDurationMs(routeName: string): number {
    return this.durationMsByRoute.get(routeName) ?? 0;
  }

  /** Records the time to first token of a prompt, in ms. */
  observePrefill(freshTokens: number, ms: number): void {
    if (freshTokens < MIN_SAMPLE_TOKENS || ms <= 0) return;
    const speed = freshTokens / ms;
    const weight =
      speed > this.prefillTokensPerMs ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.prefillTokensPerMs += weight * (speed - this.prefillTokensPerMs);
  }

  /** Records the prefill demand of a request, in ms. */
  observeDemand(pauseSensitive: boolean, prefillMs: number): void {
    if (prefillMs === 0) return;
    const sensitiveSampleMs = pauseSensitive ? prefillMs : 0;
    this.sensitivePrefillMs +=
      DEMAND_WEIGHT * (sensitiveSampleMs - this.sensitivePrefillMs);
    this.otherPrefillMs +=
      DEMAND_WEIGHT * (prefillMs - sensitiveSampleMs - this.otherPrefillMs);
  }

  private reservedCount(upstreams: number): number {
    const total = this.sensitivePrefillMs + this.otherPrefillMs;
    if (upstreams < 2 || total === 0 || this.sensitivePrefillMs === 0) return 0;
    const share = (this.sensitivePrefillMs / total) * RESERVED_HEADROOM;
    const count = Math.round(upstreams * Math.min(MAX_RESERVED_SHARE, share));
    return Math.max(1, count);
  }
}
