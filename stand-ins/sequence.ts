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
  onToken(index: number): void;
  /** All tokens were generated. */
  onEnd(): void;
}

/** A request in the batch or waiting for it. */
export class Sequence {
  /** Blocks of memory held. */
  allocatedBlocks = 0;
  /** Tokens whose KV cache must be computed before the next is generated. */
  pendingPrefill = 0;
  /** Tokens of the prefill that the current step computes. */
  stepPrefill = 0;
  /** Order of arrival. */
  arrival = 0;
  sink: SequenceSink = {onToken: () => undefined, onEnd: () => undefined};

  constructor(
    readonly execution: EngineExecution,
    /** The whole output. */
    readonly output: readonly string[],
    /** Hashes of the prompt's full blocks. */
    readonly promptBlocks: readonly string[],
  ) {}

  /** Tokens in memory once the next one is generated. */
  get tokensWithNext(): number {
    return this.execution.promptTokens + this.execution.tokens + 1;
  }

  /** Blocks of memory needed to generate the next token. */
  get requiredBlocks(): number {
    return Math.ceil(this.tokensWithNext / TOKENS_PER_BLOCK);
  }

  get complete(): boolean {
    return this.execution.tokens >= this.output.length;
  }

  /** Whether this one goes before `other`. */
  precedes(other: Sequence): boolean {
    const difference = this.execution.priority - other.execution.priority;
    return difference < 0 || (difference === 0 && this.arrival < other.arrival);
  }
}
