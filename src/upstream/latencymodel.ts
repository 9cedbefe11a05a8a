const INITIAL_INTER_TOKEN_MS = 10;
const INITIAL_PREFILL_MS_PER_TOKEN = 0.05;
const INTER_TOKEN_SAMPLE_WEIGHT = 0.1;
/**
 * Weight of a sample below the estimate. It is larger than that of a sample
 * above the estimate, because queueing only ever adds time.
 */
const FASTER_SAMPLE_WEIGHT = 0.2;
/** Weight of a sample above the estimate. */
const SLOWER_SAMPLE_WEIGHT = 0.03;
/** Uncached prompt tokens needed for a sample of the prefill time. */
const MIN_PREFILL_SAMPLE_TOKENS = 128;
/** Weight of the latest attempt in the mean attempt duration. */
const ATTEMPT_SAMPLE_WEIGHT = 0.05;
const INITIAL_ATTEMPT_MS = 1_000;

/**
 * Latency estimates of one upstream: exponentially weighted averages over the
 * attempts of this instance.
 */
export class LatencyModel {
  /**
   * Inter-token latency in ms; for a plain service, the duration of an unloaded
   * call.
   */
  interTokenMs = INITIAL_INTER_TOKEN_MS;
  /** Prefill time per prompt token, in ms. */
  prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  /** Mean duration of an attempt, in ms. */
  meanAttemptMs = INITIAL_ATTEMPT_MS;
  /** Number of samples of `interTokenMs`; 0 while it has its initial value. */
  sampleCount = 0;

  /**
   * Returns the expected time to first token on an unloaded upstream, in ms,
   * for a prompt with `uncachedTokens` to prefill.
   */
  unloadedFirstTokenMs(uncachedTokens: number): number {
    return this.interTokenMs + uncachedTokens * this.prefillMsPerToken;
  }

  /** Records a measured inter-token latency in ms. */
  observeInterToken(ms: number): void {
    const weight = this.sampleCount === 0 ? 1 : INTER_TOKEN_SAMPLE_WEIGHT;
    this.sampleCount++;
    this.interTokenMs += weight * (ms - this.interTokenMs);
  }

  /** Records the time to first token of a prompt with `uncachedTokens`. */
  observeFirstToken(ms: number, uncachedTokens: number): void {
    if (uncachedTokens < MIN_PREFILL_SAMPLE_TOKENS) return;
    const sampleMsPerToken =
      Math.max(0, ms - this.interTokenMs) / uncachedTokens;
    const faster = sampleMsPerToken < this.prefillMsPerToken;
    const weight = faster ? FASTER_SAMPLE_WEIGHT : SLOWER_SAMPLE_WEIGHT;
    this.prefillMsPerToken +=
      weight * (sampleMsPerToken - this.prefillMsPerToken);
  }

  /** Records the duration of a plain-service call, which has no tokens. */
  observeServiceCall(ms: number): void {
    const faster = this.sampleCount === 0 || ms < this.interTokenMs;
    const weight = faster ? FASTER_SAMPLE_WEIGHT : SLOWER_SAMPLE_WEIGHT;
    this.sampleCount++;
    this.interTokenMs += weight * (ms - this.interTokenMs);
  }

  /** Records the duration of a complete attempt in ms. */
  observeAttempt(ms: number): void {
    this.meanAttemptMs += ATTEMPT_SAMPLE_WEIGHT * (ms - this.meanAttemptMs);
  }
}
