import type {LoadedModel} from '../src/order/index.js';

/** What an engine does with an order whose fencing number is outdated. */
export enum FencingMode {
  /** Refuses the order. */
  Enforced = 'enforced',
  /** Executes the order, but still tracks the highest fencing number. */
  Ignored = 'ignored',
  /** Executes the order, and does not track fencing numbers. */
  None = 'none',
}

/** Whether and how an engine refuses generation requests. */
export enum RefusalMode {
  /** Accepts them. */
  Off = 'off',
  /** Refuses them with 429 and says that they were not run. */
  Busy = 'busy',
  /** Refuses them with 503 and says that they were not run. */
  Leaving = 'leaving',
  /** Answers 503 and does not say whether they were run. */
  Error = 'error',
}

/**
 * Configuration of a stand-in engine: its speed, its capacity and the faults it
 * simulates. `PUT /behaviour` changes it at runtime.
 */
export interface EngineBehaviour {
  /** Maximum number of sequences in the batch. */
  slots: number;
  /** Duration of a step without sequences or prefill, in ms. */
  stepMs: number;
  /** Time that each sequence in the batch adds to a step, in ms. */
  perSequenceMs: number;
  /** Prefill speed, in tokens per ms. */
  prefillTokensPerMs: number;
  /** Maximum number of prefill tokens in one step, over all sequences. */
  prefillChunkTokens: number;
  /** KV cache memory for running sequences, in blocks. */
  kvBlocks: number;
  /** KV cache memory for cached prefixes, in blocks. */
  cacheBlocks: number;
  /** Factor on the duration of every step; above 1 slows the engine down. */
  slowness: number;
  /** Limit of the wait queue; further requests are refused as not run. */
  maxWaiting: number;
  /** How long a stream can be resumed after its connection closes, in ms. */
  resumeHoldMs: number;
  /** Delay of the load that `GET /load` reports, in ms. */
  reportLagMs: number;
  /** Delay before a cache event is published, in ms. */
  eventLagMs: number;
  /** Share of cache events that are never published, 0 to 1. */
  eventGapShare: number;
  /** Whether the engine reports that it is about to stop. */
  leaving: boolean;
  refusal: RefusalMode;
  fencing: FencingMode;
  /** Bearer token that orders must carry; unchecked when empty. */
  orderToken: string;
  /** Whether only loaded models are served. */
  requireLoaded: boolean;
  /** Models in memory at the start. */
  loaded: LoadedModel[];
  /** Maximum number of models in memory. */
  modelSlots: number;
  /** Base URL of the weight store; if empty, loads fetch no weights. */
  weightsUrl: string;
  /** Time to load weights into memory after they are fetched, in ms. */
  loadMs: number;
  /** Size of one token's KV cache, in bytes. */
  kvBytesPerToken: number;
  /** Speed of KV cache export and import, in bytes per ms. */
  kvBytesPerMs: number;
  /** Seed of all random decisions. */
  seed: number;
}

/**
 * Defaults: fast enough for tests, without faults, and with neither the order
 * token nor the requested model checked.
 */
export const ENGINE_DEFAULTS: EngineBehaviour = {
  slots: 64,
  stepMs: 1,
  perSequenceMs: 0.005,
  prefillTokensPerMs: 200,
  prefillChunkTokens: 2_048,
  kvBlocks: 16_384,
  cacheBlocks: 8_192,
  slowness: 1,
  maxWaiting: 10_000,
  resumeHoldMs: 2_000,
  reportLagMs: 0,
  eventLagMs: 0,
  eventGapShare: 0,
  leaving: false,
  refusal: RefusalMode.Off,
  fencing: FencingMode.Enforced,
  orderToken: '',
  requireLoaded: false,
  loaded: [],
  modelSlots: 4,
  weightsUrl: '',
  loadMs: 5,
  kvBytesPerToken: 131_072,
  kvBytesPerMs: 1_250_000,
  seed: 1,
};
