import type {Timer} from '../timer/index.js';
import type {RecordedAnswer} from './record.js';

/** How a keyed request ended, as other attempts of it are told. */
export interface RecordedResult {
  outcome: 'completed' | 'failed' | 'unknown';
  /** Type of the failure; absent after completion. */
  failure?: string;
  /** The whole answer, while it is still to be had. */
  answer?: RecordedAnswer;
}

/** Where a keyed request of this instance stands. */
export type KeyedAttemptState =
  /** Claimed or being claimed, or dispatched and running. */
  | {type: 'running'}
  /** Not dispatched, and never will be. */
  | {type: 'abandoned'}
  | {type: 'ended'; result: RecordedResult};

/** One attempt of a keyed request on this instance. */
export class KeyedAttempt {
  state: KeyedAttemptState = {type: 'running'};
  /** Whether the release is in the log, once one was tried. */
  released?: Promise<boolean>;
  /** Monotonic ms at which the claim was submitted. */
  readonly startedAt: number;
  private readonly ended: Promise<void>;
  private resolveEnded: () => void = () => undefined;

  constructor(
    readonly key: string,
    readonly attempt: string,
    readonly ordinal: number,
    timer: Timer,
  ) {
    this.startedAt = timer.now();
    this.ended = new Promise(resolve => {
      this.resolveEnded = resolve;
    });
  }

  /** Ends the flight; later calls change nothing. */
  end(state: Exclude<KeyedAttemptState, {type: 'running'}>): void {
    if (this.state.type !== 'running') return;
    this.state = state;
    this.resolveEnded();
  }

  /** Resolves when the flight has ended, or after `waitMs`. */
  async waitForEnd(waitMs: number, timer: Timer): Promise<KeyedAttemptState> {
    const stopTimer = new AbortController();
    await Promise.race([this.ended, timer.sleep(waitMs, stopTimer.signal)]);
    stopTimer.abort();
    return this.state;
  }
}

const MAX_KEPT_ATTEMPTS = 20_000;
const MAX_KEPT_ANSWER_BYTES = 8 * 1024 * 1024;

/** The flights of this instance, ended ones included for a while. */
export class KeyedAttempts {
  private readonly byId = new Map<string, KeyedAttempt>();
  private readonly withAnswer: KeyedAttempt[] = [];
  private answerBytes = 0;

  add(keyedAttempt: KeyedAttempt): void {
    this.byId.set(keyedAttempt.attempt, keyedAttempt);
    if (this.byId.size <= MAX_KEPT_ATTEMPTS) return;
    for (const [id, {state}] of this.byId) {
      if (state.type === 'running') continue;
      this.byId.delete(id);
      return;
    }
  }

  find(id: string): KeyedAttempt | undefined {
    return this.byId.get(id);
  }

  /** Accounts for the answer of an ended flight and drops the oldest ones. */
  limitAnswers(keyedAttempt: KeyedAttempt): void {
    this.answerBytes += answerSize(keyedAttempt);
    this.withAnswer.push(keyedAttempt);
    while (this.answerBytes > MAX_KEPT_ANSWER_BYTES) {
      const oldest = this.withAnswer.shift();
      if (oldest === undefined) return;
      this.answerBytes -= answerSize(oldest);
      if (oldest.state.type === 'ended') delete oldest.state.result.answer;
    }
  }

  /** Forgets ended flights started before `before`, monotonic ms. */
  expire(before: number): void {
    for (const [id, keyedAttempt] of this.byId) {
      if (
        keyedAttempt.startedAt >= before ||
        keyedAttempt.state.type === 'running'
      ) {
        continue;
      }
      this.byId.delete(id);
    }
    const kept = this.withAnswer.filter(({startedAt}) => startedAt >= before);
    this.withAnswer.splice(0, this.withAnswer.length, ...kept);
    this.answerBytes = kept.reduce((sum, item) => sum + answerSize(item), 0);
  }
}

function answerSize({state}: KeyedAttempt): number {
  if (state.type !== 'ended') return 0;
  return state.result.answer?.body.length ?? 0;
}
