const PRIOR_STEP_MS = 10;
const PRIOR_PREFILL_MS_PER_TOKEN = 0.05;
const STEP_WEIGHT = 0.1;
/** Weight of a sample below the estimate; queueing only ever adds time. */
const FASTER_WEIGHT = 0.2;
/** Weight of a sample above the estimate. */
const SLOWER_WEIGHT = 0.03;
/** Prompt tokens from which a first token tells about prefill speed. */
const PREFILL_SAMPLE_TOKENS = 128;
/** Weight of the newest service time in the mean. */
const SERVICE_WEIGHT = 0.05;
const PRIOR_SERVICE_MS = 1_000;

/** Speed of an upstream, learnt from the attempts of this instance. */
export class LatencyModel {
  /** Time between two tokens, in ms. */
  interTokenMs = PRIOR_STEP_MS;
  /** Time to compute one token of a prompt, in ms. */
  prefillMsPerToken = PRIOR_PREFILL_MS_PER_TOKEN;
  /** Mean duration of an attempt, in ms. */
  meanAttemptMs = PRIOR_SERVICE_MS;
  /** Number of samples of the step; 0 while nothing is known. */
  samples = 0;

  /** Expected time to the first token of an unloaded upstream, in ms. */
  unloadedFirstTokenMs(promptTokens: number): number {
    return this.interTokenMs + promptTokens * this.prefillMsPerToken;
  }

  observeInterToken(ms: number): void {
    const weight = this.samples === 0 ? 1 : STEP_WEIGHT;
    this.samples++;
    this.interTokenMs += weight * (ms - this.interTokenMs);
  }

  /** Learns from a first token after `promptTokens` that had no cache. */
  observeFirstToken(ms: number, promptTokens: number): void {
    if (promptTokens < PREFILL_SAMPLE_TOKENS) return;
    const sample = Math.max(0, ms - this.interTokenMs) / promptTokens;
    const faster = sample < this.prefillMsPerToken;
    const weight = faster ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.prefillMsPerToken += weight * (sample - this.prefillMsPerToken);
  }

  /** Learns from a call of a plain service, which has no tokens. */
  observeServiceCall(ms: number): void {
    const faster = this.samples === 0 || ms < this.interTokenMs;
    const weight = faster ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.samples++;
    this.interTokenMs += weight * (ms - this.interTokenMs);
  }

  /** Learns the duration of a whole attempt. */
  observeAttempt(ms: number): void {
    this.meanAttemptMs += SERVICE_WEIGHT * (ms - this.meanAttemptMs);
  }
}
