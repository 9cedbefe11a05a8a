import {TOKENS_PER_BLOCK} from '../src/upstream/index.js';

/** The execution of a request in the engine's journal. */
export interface EngineExecution {
  id: string;
  /** Idempotency key of the request. */
  key?: string;
  /** Lower numbers run first. */
  priority: number;
  model: string;
  promptTokens: number;
  /** Prompt tokens found in the prefix cache at the first start. */
  cachedTokens: number;
  /** Prefill tokens computed, including those recomputed after preemption. */
  computedTokens: number;
  /** Output tokens generated so far. */
  tokens: number;
  /** Wall-clock ms; 0 until the sequence starts. */
  startedAt: number;
  endedAt?: number;
  cancelled: boolean;
  /** Number of times it was preempted to free memory for another sequence. */
  preempted: number;
}

/** Receives the tokens of a sequence. */
export interface SequenceSink {
  /** Called when the token at `index` of the output was generated. */
  onToken(index: number): void;
  /** Called when all tokens were generated. */
  onEnd(): void;
}

/** A request in the batch or in its wait queue. */
export class Sequence {
  /** Memory allocated to the sequence, in blocks. */
  allocatedBlocks = 0;
  /** Tokens still to prefill before the next token is generated. */
  pendingPrefill = 0;
  /** Tokens that the current step prefills. */
  stepPrefill = 0;
  /** Position in the order of arrival. */
  arrival = 0;
  sink: SequenceSink = {onToken: () => undefined, onEnd: () => undefined};

  constructor(
    readonly execution: EngineExecution,
    /** The complete output, which is known in advance; one token an item. */
    readonly output: readonly string[],
    /** Hashes of the prompt's full blocks. */
    readonly promptBlocks: readonly string[],
  ) {}

  /** Number of tokens in memory once the next one is generated. */
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

  /** Whether this runs before `other`: by priority, then by arrival. */
  precedes(other: Sequence): boolean {
    const difference = this.execution.priority - other.execution.priority;
    return difference < 0 || (difference === 0 && this.arrival < other.arrival);
  }
}
