import {TOKENS_PER_BLOCK} from '../src/upstream/index.js';
import type {EngineBehaviour} from './enginebehaviour.js';
import type {PrefixCache} from './prefixcache.js';
import type {EngineExecution, Sequence} from './sequence.js';

/**
 * A batch further behind its schedule than this restarts the schedule from now
 * instead of catching up on the missed steps.
 */
const MAX_SCHEDULE_LAG_MS = 50;

/** Load that a stand-in engine reports at `GET /load`. */
export interface EngineLoad {
  running: number;
  waiting: number;
  /** Share of the memory for running sequences that is in use, 0 to 1. */
  memory: number;
  slots: number;
  leaving: boolean;
}

/**
 * Simulates continuous batching. At the start of every step, waiting sequences
 * are admitted by priority while there are slots and memory; at its end, every
 * sequence whose prefill is complete gets one more token.
 */
export class Batch {
  /** Executions of the sequences that were started, in order of start. */
  readonly journal: EngineExecution[] = [];
  private readonly waiting: Sequence[] = [];
  private running: Sequence[] = [];
  private allocatedBlocks = 0;
  private nextArrival = 0;
  private stepEndsAt = 0;
  private timer?: NodeJS.Timeout;

  constructor(
    private readonly behaviour: EngineBehaviour,
    private readonly cache: PrefixCache,
  ) {}

  /** Adds a sequence to the wait queue, and starts the batch if it is idle. */
  add(sequence: Sequence): void {
    sequence.arrival = this.nextArrival++;
    this.enqueue(sequence);
    if (this.timer !== undefined) return;
    this.stepEndsAt = performance.now();
    this.planStep();
    this.scheduleStep();
  }

  /** Removes a sequence from the queue or batch and marks it as cancelled. */
  cancel(sequence: Sequence): void {
    if (sequence.execution.endedAt !== undefined) return;
    sequence.execution.cancelled = true;
    sequence.execution.endedAt = Date.now();
    const index = this.waiting.indexOf(sequence);
    if (index !== -1) this.waiting.splice(index, 1);
    this.remove(sequence);
  }

  /** Stops the batch and discards all sequences. */
  stop(): void {
    clearTimeout(this.timer);
    this.running = [];
    this.waiting.length = 0;
  }

  load(): EngineLoad {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      memory: this.allocatedBlocks / this.behaviour.kvBlocks,
      slots: this.behaviour.slots,
      leaving: this.behaviour.leaving,
    };
  }

  /** Inserts a sequence into the wait queue by priority, then by arrival. */
  private enqueue(sequence: Sequence): void {
    let index = this.waiting.length;
    while (index > 0 && this.waiting[index - 1]?.precedes(sequence) === false) {
      index--;
    }
    this.waiting.splice(index, 0, sequence);
  }

  private scheduleStep(): void {
    const delayMs = Math.max(0, this.stepEndsAt - performance.now());
    this.timer = setTimeout(() => this.runDueSteps(), delayMs);
  }

  /** Finishes every step that is due, and schedules the next one. */
  private runDueSteps(): void {
    const now = performance.now();
    if (now - this.stepEndsAt > MAX_SCHEDULE_LAG_MS) this.stepEndsAt = now;
    while (this.stepEndsAt <= now && this.running.length > 0) {
      this.finishStep();
      this.planStep();
    }
    if (this.running.length === 0) this.planStep();
    if (this.running.length > 0) this.scheduleStep();
    else delete this.timer;
  }

  /**
   * Admits waiting sequences, divides the prefill tokens of the step among the
   * running ones, and computes when the step ends.
   */
  private planStep(): void {
    this.admit();
    const {stepMs, perSequenceMs, prefillTokensPerMs, slowness} =
      this.behaviour;
    let budget = this.behaviour.prefillChunkTokens;
    for (const sequence of this.running) {
      sequence.stepPrefill = Math.min(sequence.pendingPrefill, budget);
      budget -= sequence.stepPrefill;
    }
    const prefill = this.behaviour.prefillChunkTokens - budget;
    const durationMs =
      stepMs +
      perSequenceMs * this.running.length +
      prefill / prefillTokensPerMs;
    this.stepEndsAt += durationMs * slowness;
  }

  private finishStep(): void {
    for (const sequence of [...this.running]) {
      if (!this.running.includes(sequence)) continue;
      this.advancePrefill(sequence);
      if (sequence.pendingPrefill === 0) this.decode(sequence);
    }
  }

  private advancePrefill(sequence: Sequence): void {
    if (sequence.pendingPrefill === 0) return;
    sequence.pendingPrefill -= sequence.stepPrefill;
    sequence.execution.computedTokens += sequence.stepPrefill;
    if (sequence.pendingPrefill === 0) this.cache.store(sequence.promptBlocks);
  }

  private decode(sequence: Sequence): void {
    if (!this.allocateNextToken(sequence)) return;
    const {execution} = sequence;
    const index = execution.tokens++;
    sequence.sink.onToken(index);
    if (!sequence.complete) return;
    this.remove(sequence);
    execution.endedAt = Date.now();
    sequence.sink.onEnd();
  }

  private admit(): void {
    while (this.running.length < this.behaviour.slots) {
      const next = this.waiting[0];
      if (next === undefined || !this.reclaimMemoryFor(next)) return;
      this.waiting.shift();
      this.start(next);
    }
  }

  private start(sequence: Sequence): void {
    const {execution} = sequence;
    this.allocateBlocks(sequence);
    const cached = Math.min(
      this.cache.match(sequence.promptBlocks) * TOKENS_PER_BLOCK,
      execution.promptTokens - 1,
    );
    sequence.pendingPrefill =
      execution.promptTokens + execution.tokens - cached;
    this.running.push(sequence);
    if (execution.startedAt !== 0) return;
    execution.cachedTokens = cached;
    execution.startedAt = Date.now();
    this.journal.push(execution);
  }

  private allocateBlocks(sequence: Sequence): void {
    this.allocatedBlocks += sequence.requiredBlocks - sequence.allocatedBlocks;
    sequence.allocatedBlocks = sequence.requiredBlocks;
  }

  /**
   * Preempts sequences of lower priority until a waiting one fits into memory.
   * Returns false, and preempts none, if it would not fit even then.
   */
  private reclaimMemoryFor(next: Sequence): boolean {
    const preemptible = this.running.filter(
      other => other.execution.priority > next.execution.priority,
    );
    const reclaimable = preemptible.reduce(
      (sum, {allocatedBlocks}) => sum + allocatedBlocks,
      0,
    );
    const free = this.behaviour.kvBlocks - this.allocatedBlocks;
    if (free + reclaimable < next.requiredBlocks) return false;
    while (
      this.behaviour.kvBlocks - this.allocatedBlocks <
      next.requiredBlocks
    ) {
      const victim = lowestPriority(preemptible);
      preemptible.splice(preemptible.indexOf(victim), 1);
      this.preempt(victim);
    }
    return true;
  }

  /**
   * Allocates memory for the next token, preempting sequences of the lowest
   * priority when there is none. Returns false if that was `sequence` itself.
   */
  private allocateNextToken(sequence: Sequence): boolean {
    if (sequence.requiredBlocks <= sequence.allocatedBlocks) return true;
    while (this.allocatedBlocks >= this.behaviour.kvBlocks) {
      const victim = lowestPriority(this.running);
      this.preempt(victim);
      if (victim === sequence) return false;
    }
    this.allocateBlocks(sequence);
    return true;
  }

  /** Frees the memory of a running sequence and queues it again. */
  private preempt(sequence: Sequence): void {
    this.remove(sequence);
    sequence.execution.preempted++;
    this.enqueue(sequence);
  }

  private remove(sequence: Sequence): void {
    const index = this.running.indexOf(sequence);
    if (index === -1) return;
    this.running.splice(index, 1);
    this.allocatedBlocks -= sequence.allocatedBlocks;
    sequence.allocatedBlocks = 0;
  }
}

/** The sequence of lowest priority; of several, the last to arrive. */
function lowestPriority(sequences: readonly Sequence[]): Sequence {
  return sequences.reduce((last, next) => (last.precedes(next) ? next : last));
}
