import {TOKENS_PER_BLOCK} from '../src/upstream/index.js';
import type {EngineBehaviour} from './enginebehaviour.js';
import type {PrefixCache} from './prefixcache.js';
import type {EngineExecution, Sequence} from './sequence.js';

/** How far a batch may run behind its schedule before it gives up on it. */
const CATCH_UP_LIMIT_MS = 50;

/** Load of an engine, as it reports it. */
export interface EngineLoad {
  running: number;
  waiting: number;
  /** Share of the memory for running sequences that is in use. */
  memory: number;
  slots: number;
  leaving: boolean;
}

/**
 * Decodes sequences by continuous batching: at the start of every step waiting
 * sequences are admitted by priority while there are slots and memory, and
 * every sequence whose prompt is computed gets one more token.
 */
export class Batch {
  /** Sequences that were started, in the order of their start. */
  readonly journal: EngineExecution[] = [];
  private readonly waiting: Sequence[] = [];
  private running: Sequence[] = [];
  private heldBlocks = 0;
  private arrivals = 0;
  private dueAt = 0;
  private timer?: NodeJS.Timeout;

  constructor(
    private readonly behaviour: EngineBehaviour,
    private readonly cache: PrefixCache,
  ) {}

  /** Queues a sequence. */
  add(sequence: Sequence): void {
    sequence.arrival = this.arrivals++;
    this.queue(sequence);
    if (this.timer !== undefined) return;
    this.dueAt = performance.now();
    this.begin();
    this.arm();
  }

  /** Takes a sequence out for good. */
  cancel(sequence: Sequence): void {
    if (sequence.execution.endedAt !== undefined) return;
    sequence.execution.cancelled = true;
    sequence.execution.endedAt = Date.now();
    const index = this.waiting.indexOf(sequence);
    if (index !== -1) this.waiting.splice(index, 1);
    this.remove(sequence);
  }

  /** Cancels everything and stops. */
  stop(): void {
    clearTimeout(this.timer);
    this.running = [];
    this.waiting.length = 0;
  }

  load(): EngineLoad {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      memory: this.heldBlocks / this.behaviour.kvBlocks,
      slots: this.behaviour.slots,
      leaving: this.behaviour.leaving,
    };
  }

  private queue(sequence: Sequence): void {
    let index = this.waiting.length;
    while (index > 0 && this.waiting[index - 1]?.before(sequence) === false) {
      index--;
    }
    this.waiting.splice(index, 0, sequence);
  }

  private arm(): void {
    const delayMs = Math.max(0, this.dueAt - performance.now());
    this.timer = setTimeout(() => this.run(), delayMs);
  }

  /** Runs every step that is due. */
  private run(): void {
    const now = performance.now();
    if (now - this.dueAt > CATCH_UP_LIMIT_MS) this.dueAt = now;
    while (this.dueAt <= now && this.running.length > 0) {
      this.finish();
      this.begin();
    }
    if (this.running.length === 0) this.begin();
    if (this.running.length > 0) this.arm();
    else delete this.timer;
  }

  /** Admits sequences, plans the step and its duration. */
  private begin(): void {
    this.admit();
    const {stepMs, perSequenceMs, prefillTokensPerMs, slowness} =
      this.behaviour;
    let left = this.behaviour.prefillChunkTokens;
    for (const sequence of this.running) {
      sequence.planned = Math.min(sequence.prefillLeft, left);
      left -= sequence.planned;
    }
    const prefill = this.behaviour.prefillChunkTokens - left;
    const durationMs =
      stepMs +
      perSequenceMs * this.running.length +
      prefill / prefillTokensPerMs;
    this.dueAt += durationMs * slowness;
  }

  private finish(): void {
    for (const sequence of [...this.running]) {
      if (!this.running.includes(sequence)) continue;
      this.prefill(sequence);
      if (sequence.prefillLeft === 0) this.decode(sequence);
    }
  }

  private prefill(sequence: Sequence): void {
    if (sequence.prefillLeft === 0) return;
    sequence.prefillLeft -= sequence.planned;
    sequence.execution.computedTokens += sequence.planned;
    if (sequence.prefillLeft === 0) this.cache.store(sequence.blocks);
  }

  private decode(sequence: Sequence): void {
    if (!this.grow(sequence)) return;
    const {execution} = sequence;
    const index = execution.tokens++;
    sequence.sink.token(index);
    if (!sequence.whole) return;
    this.remove(sequence);
    execution.endedAt = Date.now();
    sequence.sink.end();
  }

  private admit(): void {
    while (this.running.length < this.behaviour.slots) {
      const next = this.waiting[0];
      if (next === undefined || !this.reclaimFor(next)) return;
      this.waiting.shift();
      this.start(next);
    }
  }

  private start(sequence: Sequence): void {
    const {execution} = sequence;
    this.hold(sequence);
    const cached = Math.min(
      this.cache.match(sequence.blocks) * TOKENS_PER_BLOCK,
      execution.promptTokens - 1,
    );
    sequence.prefillLeft = execution.promptTokens + execution.tokens - cached;
    this.running.push(sequence);
    if (execution.startedAt !== 0) return;
    execution.cachedTokens = cached;
    execution.startedAt = Date.now();
    this.journal.push(execution);
  }

  private hold(sequence: Sequence): void {
    this.heldBlocks += sequence.needed - sequence.held;
    sequence.held = sequence.needed;
  }

  /** Frees memory for a waiting sequence, from those of lower priority. */
  private reclaimFor(next: Sequence): boolean {
    const lower = this.running.filter(
      other => other.execution.priority > next.execution.priority,
    );
    const reclaimable = lower.reduce((sum, {held}) => sum + held, 0);
    const free = this.behaviour.kvBlocks - this.heldBlocks;
    if (free + reclaimable < next.needed) return false;
    while (this.behaviour.kvBlocks - this.heldBlocks < next.needed) {
      const victim = lastOf(lower);
      lower.splice(lower.indexOf(victim), 1);
      this.preempt(victim);
    }
    return true;
  }

  /** Holds memory for the next token; false when it was preempted itself. */
  private grow(sequence: Sequence): boolean {
    if (sequence.needed <= sequence.held) return true;
    while (this.heldBlocks >= this.behaviour.kvBlocks) {
      const victim = lastOf(this.running);
      this.preempt(victim);
      if (victim === sequence) return false;
    }
    this.hold(sequence);
    return true;
  }

  private preempt(sequence: Sequence): void {
    this.remove(sequence);
    sequence.execution.preempted++;
    this.queue(sequence);
  }

  private remove(sequence: Sequence): void {
    const index = this.running.indexOf(sequence);
    if (index === -1) return;
    this.running.splice(index, 1);
    this.heldBlocks -= sequence.held;
    sequence.held = 0;
  }
}

/** The one of lowest priority that arrived last. */
function lastOf(sequences: readonly Sequence[]): Sequence {
  return sequences.reduce((last, other) => (last.before(other) ? other : last));
}
