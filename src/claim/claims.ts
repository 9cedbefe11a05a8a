import type {Logger} from 'pino';
import type {Subscription, Timer} from '../timer/index.js';
import {AttemptWaiter} from './attemptwaiter.js';
import {ClaimLog, type ClaimLogParts} from './claimlog.js';
import {
  KeyedAttempt,
  KeyedAttempts,
  type RecordedResult,
} from './keyedattempt.js';
import type {ClaimEntry, Holder, RecordedAnswer} from './record.js';

/** Time a claim may take before it counts as unavailable. */
const CLAIM_TIMEOUT_MS = 3_000;
/** Age at which a claim may no longer be dispatched. */
const DISPATCH_AGE_MS = 30_000;
/** Difference allowed between the clocks of callers, instances and log. */
export const MAX_CLOCK_SKEW_MS = 60_000;
const SWEEP_PERIOD_MS = 15_000;
const RECORD_TRIES = 8;
const RECORD_DELAY_MS = 500;
const CLOSE_TIMEOUT_MS = 2_000;
/** Largest answer, in bytes of base64, that goes into the log. */
const LOGGED_ANSWER_BYTES = 2_048;
const RECLAIM_LIMIT = 3;

/** What a [[Claims]] needs of the rest of the instance. */
export interface ClaimsParts extends ClaimLogParts {
  logger: Logger;
  /** Time after its issue during which a key may be used. */
  windowMs: number;
}

/** A request that wants to run at most once under its key. */
export interface ClaimRequest {
  /** Id of the key, see [[claimId]]. */
  key: string;
  /** When the key was issued, wall-clock ms. */
  issuedAt: number;
  /** Id of this attempt. */
  attempt: string;
  /** Attempts the caller made before. */
  ordinal: number;
  digest: string;
  /** Monotonic ms. */
  deadlineAt: number;
}

interface SeenKey {
  attempt: string;
  /** Monotonic ms. */
  at: number;
}

/** The result of claiming a key. */
export type ClaimResult =
  /** This attempt alone may be dispatched, once. */
  | {type: 'won'; keyedAttempt: KeyedAttempt; offset: number; waitedMs: number}
  /** Another attempt ended like this. */
  | {type: 'answered'; result: RecordedResult}
  /** The key is too old; what its attempts did is no longer known. */
  | {type: 'expired'}
  /** The key was used with another request. */
  | {type: 'conflict'}
  /** Another attempt holds the key, and its end can't be told. */
  | {type: 'elsewhere'; holder: string}
  /** The log can't be used; `seen` if an attempt may have run before. */
  | {type: 'unavailable'; mayHaveRun: boolean};

/**
 * Sees to it that at most one attempt of a keyed request is dispatched over
 * all instances and restarts. The order of the platform's log decides; see
 * docs/design/claims.md.
 */
export class Claims {
  private readonly desk: ClaimLog;
  private readonly flights = new KeyedAttempts();
  private readonly attachment: AttemptWaiter;
  private readonly timer: Timer;
  private readonly sweeping: Subscription;
  private readonly recording = new Set<Promise<void>>();
  /** Keys attempted on this instance, with their first attempt. */
  private readonly seen = new Map<string, SeenKey>();

  constructor(private readonly parts: ClaimsParts) {
    this.timer = parts.timer;
    this.desk = new ClaimLog(parts);
    this.attachment = new AttemptWaiter(parts, this.flights);
    this.sweeping = this.timer.every(SWEEP_PERIOD_MS, () => this.sweep());
  }

  /** Counters of appends and reads. */
  get usage() {
    return this.desk.usage;
  }

  /** Claims a key, or learns how the attempt that holds it ended. */
  async claim(request: ClaimRequest): Promise<ClaimResult> {
    const age = this.timer.wallNow() - request.issuedAt;
    if (age > this.parts.windowMs) return {type: 'expired'};
    const seen = this.noteSeen(request) || request.ordinal > 0;
    for (let turn = 0; turn < RECLAIM_LIMIT; turn++) {
      const attempt =
        turn === 0 ? request.attempt : `${request.attempt}.${turn}`;
      const claimed = await this.tryClaim({...request, attempt}, seen);
      if (claimed !== undefined) return claimed;
    }
    return {type: 'elsewhere', holder: ''};
  }

  /**
   * Whether the holder may dispatch now. To be called in the same turn of the
   * event loop in which the request is handed to its connection.
   */
  mayDispatch(flight: KeyedAttempt): boolean {
    if (flight.state.type !== 'running') return false;
    return this.timer.now() - flight.startedAt < DISPATCH_AGE_MS;
  }

  /**
   * Gives up a claim that was not dispatched. Resolves to whether the log has
   * the release, so that no earlier attempt of the key can run any more.
   */
  abandon(flight: KeyedAttempt): Promise<boolean> {
    flight.end({type: 'abandoned'});
    if (this.seen.get(flight.key)?.attempt === flight.attempt) {
      this.seen.delete(flight.key);
    }
    flight.released ??= this.releaseOnce(flight);
    return flight.released;
  }

  /** Records how the dispatched attempt ended. */
  recordResult(flight: KeyedAttempt, result: RecordedResult): void {
    flight.end({type: 'ended', result});
    this.flights.limitAnswers(flight);
    const {outcome, failure, answer} = result;
    const entry = {
      type: 'result' as const,
      key: flight.key,
      attempt: flight.attempt,
      outcome,
      ...(failure === undefined ? {} : {failure}),
      ...loggedAnswer(answer),
    };
    this.inBackground(async () => {
      const done = await this.desk.submit(entry, false);
      return done.type === 'recorded';
    });
  }

  /** Waits a while for results that are still to be recorded. */
  async close(): Promise<void> {
    this.sweeping.end();
    await Promise.race([
      Promise.all(this.recording),
      this.timer.sleep(CLOSE_TIMEOUT_MS),
    ]);
  }

  /** One try to claim; undefined when the key was freed meanwhile. */
  private async tryClaim(
    request: ClaimRequest,
    seen: boolean,
  ): Promise<ClaimResult | undefined> {
    const {key, attempt, ordinal, digest} = request;
    const flight = new KeyedAttempt(key, attempt, ordinal, this.timer);
    this.flights.add(flight);
    const entry: ClaimEntry = {
      type: 'claim',
      key,
      attempt,
      ordinal,
      digest,
      holder: this.self(),
    };
    const verdict = await this.bounded(entry);
    if (verdict?.type === 'won') {
      const waitedMs = this.timer.now() - flight.startedAt;
      return {
        type: 'won',
        keyedAttempt: flight,
        offset: verdict.offset,
        waitedMs,
      };
    }
    if (verdict?.type === 'held' || verdict?.type === 'ended') {
      flight.end({type: 'abandoned'});
      if (verdict.claim.digest !== digest) return {type: 'conflict'};
      if (verdict.type === 'held') return this.follow(request, verdict.claim);
      return this.recall(request, verdict.claim, verdict.result);
    }
    if (verdict?.type === 'void') return {type: 'elsewhere', holder: ''};
    void this.abandon(flight);
    return {type: 'unavailable', mayHaveRun: seen || this.isKnown(key)};
  }

  private async bounded(entry: ClaimEntry) {
    const given = new AbortController();
    const verdict = await Promise.race([
      this.desk.submit(entry, true),
      this.timer.sleep(CLAIM_TIMEOUT_MS, given.signal).then(() => undefined),
    ]);
    given.abort();
    return verdict;
  }

  /** Waits for the attempt that holds the key. */
  private async follow(
    request: ClaimRequest,
    claim: ClaimEntry,
  ): Promise<ClaimResult | undefined> {
    const attached = await this.attachment.waitForEnd(
      claim,
      request.deadlineAt,
    );
    switch (attached.type) {
      case 'ended':
        return {type: 'answered', result: attached.result};
      case 'abandoned': {
        const freed = await this.desk.submit(releaseOf(claim), true);
        if (freed.type === 'recorded') return undefined;
        return {type: 'elsewhere', holder: claim.holder.name};
      }
      case 'running':
      case 'missing':
        return this.lookUp(claim);
    }
  }

  /** Looks in the log for the end of an attempt whose holder is silent. */
  private async lookUp(claim: ClaimEntry): Promise<ClaimResult | undefined> {
    const state = await this.desk.readState(claim.key);
    if (state?.type === 'free') return undefined;
    if (state?.type === 'ended') {
      return {type: 'answered', result: state.result};
    }
    return {type: 'elsewhere', holder: claim.holder.name};
  }

  /** Returns a recorded result, with its answer from the holder if need be. */
  private async recall(
    request: ClaimRequest,
    claim: ClaimEntry,
    result: RecordedResult,
  ): Promise<ClaimResult> {
    if (result.answer !== undefined) return {type: 'answered', result};
    const attached = await this.attachment.waitForEnd(
      claim,
      request.deadlineAt,
    );
    if (attached.type === 'ended') {
      return {type: 'answered', result: attached.result};
    }
    return {type: 'answered', result};
  }

  private async releaseOnce(flight: KeyedAttempt): Promise<boolean> {
    const first = await this.release(flight);
    if (!first) this.inBackground(() => this.release(flight));
    return first;
  }

  private async release(flight: KeyedAttempt): Promise<boolean> {
    const done = await this.desk.submit(releaseOf(flight), true);
    return done.type === 'recorded';
  }

  private inBackground(step: () => Promise<boolean>): void {
    const task = this.persist(step).finally(() => this.recording.delete(task));
    this.recording.add(task);
  }

  private async persist(step: () => Promise<boolean>): Promise<void> {
    for (let turn = 0; turn < RECORD_TRIES; turn++) {
      if (await step()) return;
      await this.timer.sleep(RECORD_DELAY_MS * 2 ** turn);
    }
    this.parts.logger.warn('Result of a keyed request not recorded.');
  }

  /** Tells whether the key was attempted here and may have run. */
  private noteSeen({key, attempt}: ClaimRequest): boolean {
    if (this.seen.has(key)) return true;
    this.seen.set(key, {attempt, at: this.timer.now()});
    return false;
  }

  private isKnown(key: string): boolean {
    return this.desk.lastReadState(key).type !== 'free';
  }

  private self(): Holder {
    const {name, incarnation, host, port} = this.parts.membership.self();
    return {name, incarnation, host, port};
  }

  private sweep(): void {
    const keepMs = this.parts.windowMs + 2 * MAX_CLOCK_SKEW_MS;
    this.desk.expire(this.timer.wallNow() - keepMs);
    const before = this.timer.now() - keepMs;
    this.flights.expire(before);
    for (const [key, {at}] of this.seen) {
      if (at < before) this.seen.delete(key);
    }
  }
}

function releaseOf(claim: {key: string; attempt: string; ordinal: number}) {
  const {key, attempt, ordinal} = claim;
  return {type: 'release' as const, key, attempt, ordinal};
}

function loggedAnswer(answer: RecordedAnswer | undefined) {
  if (answer === undefined) return {};
  if (answer.body.length > LOGGED_ANSWER_BYTES) return {};
  return {answer};
}
