import {RefusalMode, type EngineBehaviour} from '../stand-ins/index.js';

/** Batch size and speed of one runner of the bench. */
export interface EngineProfile {
  /** Maximum number of sequences in a batch. */
  slots: number;
  /** Base duration of a decoding step, in ms. */
  stepMs: number;
  /** Time that each sequence in the batch adds to a step, in ms. */
  perSequenceMs: number;
  prefillTokensPerMs: number;
}

/** Tokens of a request that an engine has to compute. */
export interface RequestWork {
  /** Prompt tokens after the shared prefix, which must be prefilled. */
  uniqueTokens: number;
  outputTokens: number;
}

const BASE_PROFILE: EngineProfile = {
  slots: 8,
  stepMs: 14,
  perSequenceMs: 0.75,
  prefillTokensPerMs: 20,
};

/** Step duration of each runner relative to [[BASE_PROFILE]]. */
const STEP_TIME_FACTORS = [1, 0.8, 1, 1.25, 0.9, 1.1];

/** Delay of load reports, in ms. */
const LOAD_REPORT_LAG_MS = 500;
/** Delay of cache events, in ms. */
const CACHE_EVENT_LAG_MS = 300;
/** Fraction of cache events that are never published. */
const CACHE_EVENT_LOSS_SHARE = 0.05;

/** Profiles of the runners, in the order of the configuration. */
export const ENGINE_PROFILES: EngineProfile[] = STEP_TIME_FACTORS.map(
  factor => ({
    ...BASE_PROFILE,
    stepMs: BASE_PROFILE.stepMs * factor,
    perSequenceMs: BASE_PROFILE.perSequenceMs * factor,
    prefillTokensPerMs: BASE_PROFILE.prefillTokensPerMs / factor,
  }),
);

/** Returns the behaviour of the stand-in of runner `index`. */
export function engineBehaviour(index: number): Partial<EngineBehaviour> {
  return {
    ...(ENGINE_PROFILES[index % ENGINE_PROFILES.length] ?? BASE_PROFILE),
    prefillChunkTokens: 512,
    kvBlocks: 900,
    cacheBlocks: 800,
    reportLagMs: LOAD_REPORT_LAG_MS,
    eventLagMs: CACHE_EVENT_LAG_MS,
    eventGapShare: CACHE_EVENT_LOSS_SHARE,
    refusal: RefusalMode.Off,
    seed: index + 1,
  };
}

/**
 * Returns the requests per second that all engines together can serve when
 * their batches are always full and every shared prefix is cached.
 */
export function requestCapacity(
  engines: readonly EngineProfile[],
  {uniqueTokens, outputTokens}: RequestWork,
): number {
  return engines.reduce((sum, engine) => {
    const {slots, stepMs, perSequenceMs, prefillTokensPerMs} = engine;
    const decodeMs = outputTokens * (stepMs / slots + perSequenceMs);
    const prefillMs = uniqueTokens / prefillTokensPerMs;
    return sum + 1_000 / (decodeMs + prefillMs);
  }, 0);
}
