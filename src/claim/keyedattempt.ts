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
export type FlightState =
  /** Claimed or being claimed, or dispatched and running. */
  | {type: 'running'}
  /** Not dispatched, and never will be. */
  | {type: 'abandoned'}
  | {type: 'ended'; result: RecordedResult};

/** One attempt of a keyed request on this instance. */
export class KeyedAttempt {
  state: FlightState = {type: 'running'};
  /** Whether the release is in the log, once one was tried. */
  released?: Promise<boolean>;
  /** Monotonic ms at which the claim was submitted. */
  readonly startedAt: number;
  private readonly settled: Promise<void>;
  private settle: () => void = () => undefined;

  constructor(
    readonly key: string,
    readonly attempt: string,
    readonly ordinal: number,
    timer: Timer,
  ) {
    this.startedAt = timer.now();
    this.settled = new Promise(resolve => {
      this.settle = resolve;
    });
  }

  /** Ends the flight; later calls change nothing. */
  end(state: Exclude<FlightState, {type: 'running'}>): void {
    if (this.state.type !== 'running') return;
    this.state = state;
    this.settle();
  }

  /** Resolves when the flight has ended, or after `waitMs`. */
  async waitForEnd(waitMs: number, timer: Timer): Promise<FlightState> {
    const given = new AbortController();
    await Promise.race([this.settled, timer.sleep(waitMs, given.signal)]);
    given.abort();
    return this.state;
  }
}

const FLIGHTS_LIMIT = 20_000;
const ANSWERS_LIMIT_BYTES = 8 * 1024 * 1024;

/** The flights of this instance, ended ones included for a while. */
export class KeyedAttempts {
  private readonly byAttempt = new Map<string, KeyedAttempt>();
  private readonly answered: KeyedAttempt[] = [];
  private answerBytes = 0;

  add(flight: KeyedAttempt): void {
    this.byAttempt.set(flight.attempt, flight);
    if (this.byAttempt.size <= FLIGHTS_LIMIT) return;
    for (const [attempt, {state}] of this.byAttempt) {
      if (state.type === 'running') continue;
      this.byAttempt.delete(attempt);
      return;
    }
  }

  find(attempt: string): KeyedAttempt | undefined {
    return this.byAttempt.get(attempt);
  }

  /** Accounts for the answer of an ended flight and drops the oldest ones. */
  limitAnswers(flight: KeyedAttempt): void {
    this.answerBytes += answerSize(flight);
    this.answered.push(flight);
    while (this.answerBytes > ANSWERS_LIMIT_BYTES) {
      const oldest = this.answered.shift();
      if (oldest === undefined) return;
      this.answerBytes -= answerSize(oldest);
      if (oldest.state.type === 'ended') delete oldest.state.result.answer;
    }
  }

  /** Forgets ended flights started before `before`, monotonic ms. */
  expire(before: number): void {
    for (const [attempt, flight] of this.byAttempt) {
      if (flight.startedAt >= before || flight.state.type === 'running') {
        continue;
      }
      this.byAttempt.delete(attempt);
    }
    const kept = this.answered.filter(({startedAt}) => startedAt >= before);
    this.answered.splice(0, this.answered.length, ...kept);
    this.answerBytes = kept.reduce((sum, item) => sum + answerSize(item), 0);
  }
}

function answerSize({state}: KeyedAttempt): number {
  if (state.type !== 'ended') return 0;
  return state.result.answer?.body.length ?? 0;
}
