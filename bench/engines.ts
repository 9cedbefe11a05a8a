import {RefusalMode, type EngineBehaviour} from '../stand-ins/index.js';

/** Speed and size of one runner of the bench. */
export interface EngineProfile {
  slots: number;
  stepMs: number;
  perSequenceMs: number;
  prefillTokensPerMs: number;
}

/** Tokens of a request that an engine has to work on. */
export interface RequestWork {
  /** Prompt tokens that no other request shares. */
  uniqueTokens: number;
  outputTokens: number;
}

const COMMON: EngineProfile = {
  slots: 8,
  stepMs: 14,
  perSequenceMs: 0.75,
  prefillTokensPerMs: 20,
};

/** Relative duration of a step on each runner; they are of unlike speed. */
const PACE = [1, 0.8, 1, 1.25, 0.9, 1.1];

/** Lag of load reports and of cache events, in ms. */
const REPORT_LAG_MS = 500;
const EVENT_LAG_MS = 300;
const EVENT_GAP_SHARE = 0.05;

/** Profiles of the runners of the bench, in the order of their names. */
export const ENGINE_PROFILES: EngineProfile[] = PACE.map(pace => ({
  ...COMMON,
  stepMs: COMMON.stepMs * pace,
  perSequenceMs: COMMON.perSequenceMs * pace,
  prefillTokensPerMs: COMMON.prefillTokensPerMs / pace,
}));

/** Behaviour of the stand-in of runner `index`. */
export function engineBehaviour(index: number): Partial<EngineBehaviour> {
  return {
    ...(ENGINE_PROFILES[index % ENGINE_PROFILES.length] ?? COMMON),
    prefillChunkTokens: 512,
    kvBlocks: 900,
    cacheBlocks: 800,
    reportLagMs: REPORT_LAG_MS,
    eventLagMs: EVENT_LAG_MS,
    eventGapShare: EVENT_GAP_SHARE,
    refusal: RefusalMode.Off,
    seed: index + 1,
  };
}

/**
 * Requests per second that all engines together serve when their batches are
 * always full and every shared prefix is found in their caches.
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
