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
const MAX_DISPATCH_AGE_MS = 30_000;
/** Difference allowed between the clocks of callers, instances and log. */
export const MAX_CLOCK_SKEW_MS = 60_000;
const SWEEP_PERIOD_MS = 15_000;
const MAX_RECORD_TRIES = 8;
const FIRST_RECORD_RETRY_DELAY_MS = 500;
const CLOSE_TIMEOUT_MS = 2_000;
/** Largest answer, in bytes of base64, that goes into the log. */
const MAX_LOGGED_ANSWER_BYTES = 2_048;
const MAX_CLAIM_TRIES = 3;

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

interface FirstAttempt {
  attempt: string;
  /** Monotonic ms. */
  startedAt: number;
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
  private readonly log: ClaimLog;
  private readonly attempts = new KeyedAttempts();
  private readonly waiter: AttemptWaiter;
  private readonly timer: Timer;
  private readonly expiry: Subscription;
  private readonly backgroundWrites = new Set<Promise<void>>();
  /** Keys attempted on this instance, with their first attempt. */
  private readonly firstAttempts = new Map<string, FirstAttempt>();

  constructor(private readonly parts: ClaimsParts) {
    this.timer = parts.timer;
    this.log = new ClaimLog(parts);
    this.waiter = new AttemptWaiter(parts, this.attempts);
    this.expiry = this.timer.every(SWEEP_PERIOD_MS, () => this.forgetOldKeys());
  }

  /** Counters of appends and reads. */
  get usage() {
    return this.log.usage;
  }

  /** Claims a key, or learns how the attempt that holds it ended. */
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
   * Whether the holder may dispatch now. To be called in the same turn of the
   * event loop in which the request is handed to its connection.
   */
  mayDispatch(keyedAttempt: KeyedAttempt): boolean {
    if (keyedAttempt.state.type !== 'running') return false;
    return this.timer.now() - keyedAttempt.startedAt < MAX_DISPATCH_AGE_MS;
  }

  /**
   * Gives up a claim that was not dispatched. Resolves to whether the log has
   * the release, so that no earlier attempt of the key can run any more.
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

  /** Records how the dispatched attempt ended. */
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

  /** Waits a while for results that are still to be recorded. */
  async close(): Promise<void> {
    this.expiry.end();
    await Promise.race([
      Promise.all(this.backgroundWrites),
      this.timer.sleep(CLOSE_TIMEOUT_MS),
    ]);
  }

  /** One try to claim; undefined when the key was freed meanwhile. */
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

  /** Waits for the attempt that holds the key. */
  private async awaitEnd(
    request: ClaimRequest,
    claim: ClaimEntry,
  ): Promise<ClaimResult | undefined> {
    const held = await this.waiter.waitForEnd(claim, request.deadlineAt);
    switch (held.type) {
      case 'ended':
        return {type: 'answered', result: held.result};
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

  /** Looks in the log for the end of an attempt whose holder is silent. */
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

  /** Returns a recorded result, with its answer from the holder if need be. */
  private async withAnswer(
    request: ClaimRequest,
    claim: ClaimEntry,
    result: RecordedResult,
  ): Promise<ClaimResult> {
    if (result.answer !== undefined) return {type: 'answered', result};
    const held = await this.waiter.waitForEnd(claim, request.deadlineAt);
    if (held.type === 'ended') {
      return {type: 'answered', result: held.result};
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
    this.parts.logger.warn('Result of a keyed request not recorded.');
  }

  /** Tells whether the key was attempted here and may have run. */
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
