import type {SpeedEstimate} from './placement.js';

/** Prompt tokens a ms that engines read until they were seen to, a low guess. */
const TOKENS_PER_MS = 30;
/** Time of a plain request until one was seen, in ms. */
const SERVICE_MS = 30;
/** Weight of the newest sample in smoothed times. */
const SAMPLE_WEIGHT = 0.1;
/** Weight of a sample that shows a higher speed: waiting only adds time. */
const FASTER_WEIGHT = 0.5;
/** Weight of a sample that shows a lower speed. */
const SLOWER_WEIGHT = 0.01;
/** Prompt tokens from which a sample tells the speed of reading. */
const SAMPLE_TOKENS = 1_500;
/** Weight of the newest request in the shares of work. */
const SHARE_WEIGHT = 0.04;
/** Room that sensitive kinds get beyond their share of work. */
const SHIELD_HEADROOM = 1.5;
/** Largest share of upstreams kept for sensitive kinds. */
const SHIELD_LIMIT = 0.5;

/** What an instance has learnt of the speeds of one service's upstreams. */
export class SpeedEstimator {
  private tokensPerMs = TOKENS_PER_MS;
  private serviceMs = SERVICE_MS;
  private sensitiveMs = 0;
  private otherMs = 0;
  private readonly lasting = new Map<string, number>();

  /** What is believed, for a service with so many upstreams. */
  estimate(upstreams: number): SpeedEstimate {
    return {
      prefillTokensPerMs: this.tokensPerMs,
      plainRequestMs: this.serviceMs,
      reservedCount: this.shielded(upstreams),
    };
  }

  /** Takes in the time that a plain request took, in ms. */
  observePlain(ms: number): void {
    this.serviceMs += SAMPLE_WEIGHT * (ms - this.serviceMs);
  }

  /** Takes in how long a request of a kind took from its sending, in ms. */
  observe(kind: string, ms: number): void {
    const known = this.lasting.get(kind) ?? ms;
    this.lasting.set(kind, known + SAMPLE_WEIGHT * (ms - known));
  }

  /** How long requests of a kind take, in ms; 0 until one was seen. */
  expectedDurationMs(kind: string): number {
    return this.lasting.get(kind) ?? 0;
  }

  /** Takes in the time to the first event of a prompt, in ms. */
  observePrefill(freshTokens: number, ms: number): void {
    if (freshTokens < SAMPLE_TOKENS || ms <= 0) return;
    const speed = freshTokens / ms;
    const weight = speed > this.tokensPerMs ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.tokensPerMs += weight * (speed - this.tokensPerMs);
  }

  /** Takes in the reading that a request asks of an engine, in ms. */
  observeDemand(sensitive: boolean, readingMs: number): void {
    if (readingMs === 0) return;
    const own = sensitive ? readingMs : 0;
    this.sensitiveMs += SHARE_WEIGHT * (own - this.sensitiveMs);
    this.otherMs += SHARE_WEIGHT * (readingMs - own - this.otherMs);
  }

  private shielded(upstreams: number): number {
    const total = this.sensitiveMs + this.otherMs;
    if (upstreams < 2 || total === 0 || this.sensitiveMs === 0) return 0;
    const share = (this.sensitiveMs / total) * SHIELD_HEADROOM;
    const count = Math.round(upstreams * Math.min(SHIELD_LIMIT, share));
    return Math.max(1, count);
  }
}
