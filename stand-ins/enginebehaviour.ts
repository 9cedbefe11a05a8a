import type {LoadedModel} from '../src/order/index.js';

/** What an engine does with an order that carries an old fencing number. */
export enum FencingMode {
  /** Refuses it. */
  Enforced = 'enforced',
  /** Executes it, and keeps the number in its journal. */
  Ignored = 'ignored',
  /** Executes it; knows no fencing numbers. */
  None = 'none',
}

/** How an engine treats all new work. */
export enum RefusalMode {
  /** Takes it. */
  Off = 'off',
  /** Refuses it as not run, with 429. */
  Busy = 'busy',
  /** Refuses it as not run, with 503. */
  Leaving = 'leaving',
  /** Fails with 503 and does not say whether it ran. */
  Error = 'error',
}

/** How a stand-in engine behaves. */
export interface EngineBehaviour {
  /** Sequences in the batch at most. */
  slots: number;
  /** Duration of a step, in ms. */
  stepMs: number;
  /** What each sequence in the batch adds to a step, in ms. */
  perSequenceMs: number;
  /** Prompt tokens computed per ms. */
  prefillTokensPerMs: number;
  /** Prompt tokens computed within one step at most. */
  prefillChunkTokens: number;
  /** Memory for running sequences, in blocks. */
  kvBlocks: number;
  /** Memory for cached prefixes, in blocks. */
  cacheBlocks: number;
  /** Factor on the duration of every step; above 1 it is a straggler. */
  slowness: number;
  /** Requests waiting at most; more are refused as not run. */
  maxWaiting: number;
  /** How long a stream without a connection can be resumed, in ms. */
  resumeHoldMs: number;
  /** Age of what `GET /load` tells, in ms. */
  reportLagMs: number;
  /** Age at which a cache event is published, in ms. */
  eventLagMs: number;
  /** Share of cache events that are never published. */
  eventGapShare: number;
  /** Whether it announces that it is leaving. */
  leaving: boolean;
  refusal: RefusalMode;
  fencing: FencingMode;
  /** Bearer token that orders must carry; unchecked when empty. */
  orderToken: string;
  /** Whether only loaded models are served. */
  requireLoaded: boolean;
  /** Models held at the start. */
  loaded: LoadedModel[];
  /** Models it can hold at once. */
  modelSlots: number;
  /** Base URL of the weight store; loads take `loadMs` alone when empty. */
  weightsUrl: string;
  /** Time a load takes after its weights arrived, in ms. */
  loadMs: number;
  /** Size of the KV cache of a token, in bytes. */
  kvBytesPerToken: number;
  /** Bytes of KV cache exported or imported per ms. */
  kvBytesPerMs: number;
  /** Seed of everything random. */
  seed: number;
}

/** An engine that is fast enough for tests and checks nothing. */
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
