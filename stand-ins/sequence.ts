import {TOKENS_PER_BLOCK} from '../src/upstream/index.js';

/** One execution, as the engine's journal keeps it. */
export interface EngineExecution {
  id: string;
  /** Idempotency key of the request. */
  key?: string;
  priority: number;
  model: string;
  promptTokens: number;
  /** Prompt tokens found in the prefix cache when it first started. */
  cachedTokens: number;
  /** Tokens whose KV cache was computed, repeated work included. */
  computedTokens: number;
  /** Tokens generated. */
  tokens: number;
  /** Wall-clock ms; 0 until it started. */
  startedAt: number;
  endedAt?: number;
  cancelled: boolean;
  /** How often it lost its memory to another sequence. */
  preempted: number;
}

/** Where a sequence delivers its tokens. */
export interface SequenceSink {
  /** A token was generated. */
  token(index: number): void;
  /** All tokens were generated. */
  end(): void;
}

/** A request in the batch or waiting for it. */
export class Sequence {
  /** Blocks of memory held. */
  held = 0;
  /** Tokens whose KV cache must be computed before the next is generated. */
  prefillLeft = 0;
  /** Tokens of the prefill that the current step computes. */
  planned = 0;
  /** Order of arrival. */
  arrival = 0;
  sink: SequenceSink = {token: () => undefined, end: () => undefined};

  constructor(
    readonly execution: EngineExecution,
    /** The whole output. */
    readonly tokens: readonly string[],
    /** Hashes of the prompt's full blocks. */
    readonly blocks: readonly string[],
  ) {}

  /** Tokens in memory once the next one is generated. */
  get length(): number {
    return this.execution.promptTokens + this.execution.tokens + 1;
  }

  /** Blocks of memory needed to generate the next token. */
  get needed(): number {
    return Math.ceil(this.length / TOKENS_PER_BLOCK);
  }

  get whole(): boolean {
    return this.execution.tokens >= this.tokens.length;
  }

  /** Whether this one goes before `other`. */
  before(other: Sequence): boolean {
    const difference = this.execution.priority - other.execution.priority;
    return difference < 0 || (difference === 0 && this.arrival < other.arrival);
  }
}
