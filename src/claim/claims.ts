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

/** Time after which a claim counts as failed. */
const CLAIM_TIMEOUT_MS = 3_000;
/** Age of a claim from which its attempt may no longer be dispatched. */
const MAX_DISPATCH_AGE_MS = 30_000;
/** Largest tolerated difference between clocks of callers, instances, log. */
export const MAX_CLOCK_SKEW_MS = 60_000;
/** Time between removals of old keys and attempts. */
const SWEEP_PERIOD_MS = 15_000;
const MAX_RECORD_TRIES = 8;
/** Pause after the first failed write; doubles with each failure. */
const FIRST_RECORD_RETRY_DELAY_MS = 500;
/** Longest wait for pending writes on shutdown. */
const CLOSE_TIMEOUT_MS = 2_000;
/** Largest answer stored in the log, in bytes of base64. */
const MAX_LOGGED_ANSWER_BYTES = 2_048;
/** Claims of a key per request, as the key may be released meanwhile. */
const MAX_CLAIM_TRIES = 3;

/** Dependencies and settings of [[Claims]]. */
export interface ClaimsParts extends ClaimLogParts {
  logger: Logger;
  /** Time for which a key may be used after it was issued. */
  windowMs: number;
}

/** A request that must run at most once under its key. */
export interface ClaimRequest {
  /** Id of the key, see [[claimId]]. */
  key: string;
  /** When the key was issued, in Unix ms. */
  issuedAt: number;
  /** Id of this attempt. */
  attempt: string;
  /** Number of earlier attempts that the caller reports. */
  ordinal: number;
  /** SHA-256 of method, path and body, in hexadecimal. */
  digest: string;
  /** When the request times out, in monotonic ms. */
  deadlineAt: number;
}

/** First attempt of a key on this instance. */
interface FirstAttempt {
  attempt: string;
  /** Monotonic ms. */
  startedAt: number;
}

/** The result of claiming a key. */
export type ClaimResult =
  /** Only this attempt may be dispatched, and only once. */
  | {type: 'won'; keyedAttempt: KeyedAttempt; offset: number; waitedMs: number}
  /** Another attempt has ended with this result. */
  | {type: 'answered'; result: RecordedResult}
  /** The key is too old; the results of its attempts are forgotten. */
  | {type: 'expired'}
  /** The key was used for a different request. */
  | {type: 'conflict'}
  /**
   * The result of the key can't be determined. `holder` is the instance that
   * holds the key, or empty if the claim is void or failed too often.
   */
  | {type: 'elsewhere'; holder: string}
  /** The log failed; `mayHaveRun` if an earlier attempt may have run. */
  | {type: 'unavailable'; mayHaveRun: boolean};

/**
 * Ensures that at most one attempt of a keyed request is dispatched across all
 * instances and restarts. Attempts claim the key in the platform's log, and the
 * first claim wins; see docs/design/claims.md.
 */
export class Claims {
  private readonly log: ClaimLog;
  private readonly attempts = new KeyedAttempts();
  private readonly waiter: AttemptWaiter;
  private readonly timer: Timer;
  private readonly expiry: Subscription;
  /** Pending writes of results and releases to the log. */
  private readonly backgroundWrites = new Set<Promise<void>>();
  /** First attempt of each key on this instance. */
  private readonly firstAttempts = new Map<string, FirstAttempt>();

  constructor(private readonly parts: ClaimsParts) {
    this.timer = parts.timer;
    this.log = new ClaimLog(parts);
    this.waiter = new AttemptWaiter(parts, this.attempts);
    this.expiry = this.timer.every(SWEEP_PERIOD_MS, () => this.forgetOldKeys());
  }

  /** Counters of appends to and reads of the claims streams. */
  get usage() {
    return this.log.usage;
  }

  /** Claims a key, or returns the result of the attempt that holds it. */
  async claim(request: ClaimRequest): Promise<ClaimResult> {
    const age = this.timer.wallNow() - request.issuedAt;
    if (age > this.parts.windowMs) return {type: 'expired'};
    const isRepeated = this.noteAttempt(request) || request.ordinal > 0;
    for (let tries = 0; tries < MAX_CLAIM_TRIES; tries++) {
      const attempt =
        tries === 0 ? request.attempt : `${request.attempt}.${tries}`;
      const claimed = await this.tryClaim({...request, attempt}, isRepeated);
      if (claimed !== undefined) return claimed;
    }
    return {type: 'elsewhere', holder: ''};
  }

  /**
   * Whether the attempt may be dispatched now. Must be called in the same turn
   * of the event loop in which the request is passed to its connection.
   */
  mayDispatch(keyedAttempt: KeyedAttempt): boolean {
    if (keyedAttempt.state.type !== 'running') return false;
    return this.timer.now() - keyedAttempt.startedAt < MAX_DISPATCH_AGE_MS;
  }

  /**
   * Releases the claim of an attempt that was not dispatched. Returns whether
   * the log has the release, which also voids later claims by earlier attempts.
   */
  abandon(keyedAttempt: KeyedAttempt): Promise<boolean> {
    keyedAttempt.end({type: 'abandoned'});
    if (
      this.firstAttempts.get(keyedAttempt.key)?.attempt === keyedAttempt.attempt
    ) {
      this.firstAttempts.delete(keyedAttempt.key);
    }
    keyedAttempt.released ??= this.releaseWithRetries(keyedAttempt);
    return keyedAttempt.released;
  }

  /** Records how a dispatched attempt ended, in the background. */
  recordResult(keyedAttempt: KeyedAttempt, result: RecordedResult): void {
    keyedAttempt.end({type: 'ended', result});
    this.attempts.limitAnswers(keyedAttempt);
    const {outcome, failure, answer} = result;
    const entry = {
      type: 'result' as const,
      key: keyedAttempt.key,
      attempt: keyedAttempt.attempt,
      outcome,
      ...(failure === undefined ? {} : {failure}),
      ...loggedAnswer(answer),
    };
    this.writeInBackground(async () => {
      const submitted = await this.log.submit(entry, false);
      return submitted.type === 'recorded';
    });
  }

  /** Waits up to [[CLOSE_TIMEOUT_MS]] for pending writes to the log. */
  async close(): Promise<void> {
    this.expiry.end();
    await Promise.race([
      Promise.all(this.backgroundWrites),
      this.timer.sleep(CLOSE_TIMEOUT_MS),
    ]);
  }

  /** Claims once; undefined if the key was released meanwhile. */
  private async tryClaim(
    request: ClaimRequest,
    isRepeated: boolean,
  ): Promise<ClaimResult | undefined> {
    const {key, attempt, ordinal, digest} = request;
    const keyedAttempt = new KeyedAttempt(key, attempt, ordinal, this.timer);
    this.attempts.add(keyedAttempt);
    const entry: ClaimEntry = {
      type: 'claim',
      key,
      attempt,
      ordinal,
      digest,
      holder: this.self(),
    };
    const verdict = await this.submitWithTimeout(entry);
    if (verdict?.type === 'won') {
      const waitedMs = this.timer.now() - keyedAttempt.startedAt;
      return {type: 'won', keyedAttempt, offset: verdict.offset, waitedMs};
    }
    if (verdict?.type === 'held' || verdict?.type === 'ended') {
      keyedAttempt.end({type: 'abandoned'});
      if (verdict.claim.digest !== digest) return {type: 'conflict'};
      if (verdict.type === 'held') return this.awaitEnd(request, verdict.claim);
      return this.withAnswer(request, verdict.claim, verdict.result);
    }
    if (verdict?.type === 'void') return {type: 'elsewhere', holder: ''};
    void this.abandon(keyedAttempt);
    return {type: 'unavailable', mayHaveRun: isRepeated || this.hasClaim(key)};
  }

  /** Submits a claim; undefined after [[CLAIM_TIMEOUT_MS]]. */
  private async submitWithTimeout(entry: ClaimEntry) {
    const stopTimer = new AbortController();
    const verdict = await Promise.race([
      this.log.submit(entry, true),
      this.timer
        .sleep(CLAIM_TIMEOUT_MS, stopTimer.signal)
        .then(() => undefined),
    ]);
    stopTimer.abort();
    return verdict;
  }

  /** Waits for the attempt that holds the key; undefined if released. */
  private async awaitEnd(
    request: ClaimRequest,
    claim: ClaimEntry,
  ): Promise<ClaimResult | undefined> {
    const end = await this.waiter.waitForEnd(claim, request.deadlineAt);
    switch (end.type) {
      case 'ended':
        return {type: 'answered', result: end.result};
      case 'abandoned': {
        const release = await this.log.submit(releaseOf(claim), true);
        if (release.type === 'recorded') return undefined;
        return {type: 'elsewhere', holder: claim.holder.name};
      }
      case 'running':
      case 'missing':
        return this.readResult(claim);
    }
  }

  /** Reads an attempt's result from the log if the holder can't give it. */
  private async readResult(
    claim: ClaimEntry,
  ): Promise<ClaimResult | undefined> {
    const state = await this.log.readState(claim.key);
    if (state?.type === 'free') return undefined;
    if (state?.type === 'ended') {
      return {type: 'answered', result: state.result};
    }
    return {type: 'elsewhere', holder: claim.holder.name};
  }

  /** Returns a result, with the answer from the holder if it isn't logged. */
  private async withAnswer(
    request: ClaimRequest,
    claim: ClaimEntry,
    result: RecordedResult,
  ): Promise<ClaimResult> {
    if (result.answer !== undefined) return {type: 'answered', result};
    const end = await this.waiter.waitForEnd(claim, request.deadlineAt);
    if (end.type === 'ended') {
      return {type: 'answered', result: end.result};
    }
    return {type: 'answered', result};
  }

  private async releaseWithRetries(
    keyedAttempt: KeyedAttempt,
  ): Promise<boolean> {
    const first = await this.release(keyedAttempt);
    if (!first) this.writeInBackground(() => this.release(keyedAttempt));
    return first;
  }

  private async release(keyedAttempt: KeyedAttempt): Promise<boolean> {
    const submitted = await this.log.submit(releaseOf(keyedAttempt), true);
    return submitted.type === 'recorded';
  }

  private writeInBackground(write: () => Promise<boolean>): void {
    const running = this.writeWithRetries(write).finally(() =>
      this.backgroundWrites.delete(running),
    );
    this.backgroundWrites.add(running);
  }

  private async writeWithRetries(write: () => Promise<boolean>): Promise<void> {
    for (let tries = 0; tries < MAX_RECORD_TRIES; tries++) {
      if (await write()) return;
      await this.timer.sleep(FIRST_RECORD_RETRY_DELAY_MS * 2 ** tries);
    }
    this.parts.logger.warn('Result or release of a claim not recorded.');
  }

  /** Notes an attempt; whether an earlier one on this instance may have run. */
  private noteAttempt({key, attempt}: ClaimRequest): boolean {
    if (this.firstAttempts.has(key)) return true;
    this.firstAttempts.set(key, {attempt, startedAt: this.timer.now()});
    return false;
  }

  private hasClaim(key: string): boolean {
    return this.log.lastReadState(key).type !== 'free';
  }

  private self(): Holder {
    const {name, incarnation, host, port} = this.parts.membership.self();
    return {name, incarnation, host, port};
  }

  private forgetOldKeys(): void {
    const keepMs = this.parts.windowMs + 2 * MAX_CLOCK_SKEW_MS;
    this.log.expire(this.timer.wallNow() - keepMs);
    const oldestKept = this.timer.now() - keepMs;
    this.attempts.expire(oldestKept);
    for (const [key, {startedAt}] of this.firstAttempts) {
      if (startedAt < oldestKept) this.firstAttempts.delete(key);
    }
  }
}

function releaseOf(claim: {key: string; attempt: string; ordinal: number}) {
  const {key, attempt, ordinal} = claim;
  return {type: 'release' as const, key, attempt, ordinal};
}

function loggedAnswer(answer: RecordedAnswer | undefined) {
  if (answer === undefined) return {};
  if (answer.body.length > MAX_LOGGED_ANSWER_BYTES) return {};
  return {answer};
}
