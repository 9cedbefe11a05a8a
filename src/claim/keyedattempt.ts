import type {Timer} from '../timer/index.js';
import type {RecordedAnswer} from './record.js';

/** How a keyed request ended, as reported to its other attempts. */
export interface RecordedResult {
  outcome: 'completed' | 'failed' | 'unknown';
  /** Type of the failure; absent if the request completed. */
  failure?: string;
  /** The complete answer, as long as it is kept. */
  answer?: RecordedAnswer;
}

/** State of a [[KeyedAttempt]]. */
export type KeyedAttemptState =
  /** The claim is pending or was won; the request may be running. */
  | {type: 'running'}
  /** It was not and will not be dispatched. */
  | {type: 'abandoned'}
  | {type: 'ended'; result: RecordedResult};

/** An attempt of a keyed request on this instance. */
export class KeyedAttempt {
  state: KeyedAttemptState = {type: 'running'};
  /** Set when the claim is released: whether the log has the release. */
  released?: Promise<boolean>;
  /** When the claim was submitted, in monotonic ms. */
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

  /** Ends the attempt; later calls have no effect. */
  end(state: Exclude<KeyedAttemptState, {type: 'running'}>): void {
    if (this.state.type !== 'running') return;
    this.state = state;
    this.resolveEnded();
  }

  /** Returns the state once the attempt has ended, or after `waitMs`. */
  async waitForEnd(waitMs: number, timer: Timer): Promise<KeyedAttemptState> {
    const stopTimer = new AbortController();
    await Promise.race([this.ended, timer.sleep(waitMs, stopTimer.signal)]);
    stopTimer.abort();
    return this.state;
  }
}

/** Number above which the oldest ended attempt is dropped. */
const MAX_KEPT_ATTEMPTS = 20_000;
/** Total size of the kept answers, in bytes of base64. */
const MAX_KEPT_ANSWER_BYTES = 8 * 1024 * 1024;

/** Keyed attempts of this instance: the running and recently ended ones. */
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

  /**
   * Counts the answer of an ended attempt, and drops the oldest answers beyond
   * the limit.
   */
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

  /** Forgets ended attempts that started before `before`, in monotonic ms. */
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
