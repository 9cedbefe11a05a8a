import type {Logger} from 'pino';
import {
  HoldState,
  type Evidence,
  type Hold,
  type Quarantines,
  hasPromptParts,
  type Suspect,
} from '../quarantine/index.js';
import {EntryState} from '../registry/index.js';
import {Path} from '../relay/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import type {Timer} from '../timer/index.js';
import type {AnswerSign} from './answersign.js';
import type {Endpoint} from './endpoint.js';
import {ProbeResult, showsLife, type LivenessProber} from './liveness.js';

/** Times after a broken answer at which its upstream is probed, in ms. */
const PROBE_DELAYS_MS = [30, 300, 1_000];
/** Shortest time between two probes of an upstream, in ms. */
const MIN_PROBE_GAP_MS = 100;
/** Answers share a probe that is due for one of them this much earlier, in ms. */
const SHARED_MS = 20;
/** Most requests that one log line names. */
const MAX_LOGGED_REQUESTS = 16;
/** Most probes that one log line names, the last ones. */
const MAX_LOGGED_PROBES = 8;

/**
 * A request whose answer broke off as if its upstream had ended on it: one with a
 * prompt after the head and before an event, any other before its end.
 */
export interface BrokenAnswer {
  request: string;
  /** See [[RequestContext.parts]]. */
  parts: readonly string[];
  /** When it was sent to the upstream, in monotonic ms. */
  sentAt: number;
}

/** An answer that shows that a request doesn't crash its upstream. */
export interface SurvivedAnswer {
  request: string;
  upstream: string;
  /** See [[RequestContext.parts]]. */
  parts: readonly string[];
  sign: AnswerSign;
}

/** What the probes of an upstream came to that broke off answers. */
enum Verdict {
  Crashed = 'crashed',
  /** A plain service that answers, and so doesn't count as crashed. */
  Lives = 'lives',
  /** It was said to be leaving, so its end proves nothing. */
  Leaving = 'leaving',
  /** No probe was refused. */
  Unproven = 'unproven',
}

interface TimedBreak extends BrokenAnswer {
  /** When the answer broke off, in monotonic ms. */
  at: number;
  /** Probes of the upstream that were due since. */
  probes: number;
}

/** When the next probe after a broken answer is due; infinite after the last. */
function nextProbeAt({at, probes}: TimedBreak): number {
  return at + (PROBE_DELAYS_MS[probes] ?? Infinity);
}

/** Broken answers of an upstream, and what its probes showed so far. */
interface Examination {
  /** Answers that are followed by further probes. */
  pending: TimedBreak[];
  /** Answers whose probes are over. */
  finished: TimedBreak[];
  results: ProbeResult[];
  /** When the upstream was last probed, in monotonic ms. */
  probedAt: number;
  /** Ends the wait for the next probe. */
  wake: AbortController;
}

/** Dependencies of [[PromptGuard]]. */
export interface PromptGuardParts {
  /** Name of this instance. */
  instance: string;
  quarantine: Pick<Quarantines, keyof Quarantines>;
  probes: Pick<LivenessProber, 'probe'>;
  timer: Timer;
  logger: Logger;
}

/**
 * Keeps requests away from upstreams that crash whenever they begin to answer
 * them, or a part of their prompts. Tells a crash from a broken connection, and
 * reports it to the [[Quarantines]], which decide.
 */
export class PromptGuard {
  /** Upstreams of which more is to be learnt, since answers broke off there. */
  private readonly examinations = new Map<Endpoint, Examination>();
  private crashes = 0;

  constructor(private readonly parts: PromptGuardParts) {
    parts.quarantine.subscribe(evidence => this.log(evidence, 'own'));
  }

  /** The hold that refuses a request with these parts, if there is one. */
  holdOf(parts: readonly string[]): Hold | undefined {
    return this.parts.quarantine.holdOf(parts);
  }

  /**
   * Begins to try the held parts of a request. If this returns true, the request
   * is to be forwarded once; its outcome ends the holds or renews them.
   */
  beginTrial(parts: readonly string[]): boolean {
    return this.parts.quarantine.beginTrial(parts);
  }

  /** Whether a request whose answer broke off may be sent again. */
  mayRepeat(parts: readonly string[]): boolean {
    return this.parts.quarantine.mayRepeat(parts);
  }

  /** See [[Quarantine.rationed]]. */
  rationed(parts: readonly string[]): string[] {
    return this.parts.quarantine.rationed(parts);
  }

  /** See [[Quarantine.hasTurn]]. */
  hasTurn(parts: readonly string[]): boolean {
    return this.parts.quarantine.hasTurn(parts);
  }

  /** See [[Quarantine.takeTurn]]. */
  takeTurn(parts: readonly string[]): void {
    this.parts.quarantine.takeTurn(parts);
  }

  /** Records that an answer got beyond its beginning. */
  recordAnswer(answer: SurvivedAnswer): void {
    const {quarantine} = this.parts;
    this.logCleared(answer);
    quarantine.recordAnswer(answer.parts);
  }

  /** Records an answer that its upstream broke off at the beginning. */
  recordBreak(endpoint: Endpoint, answer: BrokenAnswer): void {
    const timed = {...answer, at: this.parts.timer.now(), probes: 0};
    const known = this.examinations.get(endpoint);
    if (known !== undefined) {
      known.pending.push(timed);
      known.wake.abort();
      return;
    }
    const examination: Examination = {
      pending: [timed],
      finished: [],
      results: [],
      probedAt: -Infinity,
      wake: new AbortController(),
    };
    this.examinations.set(endpoint, examination);
    void this.examine(endpoint, examination);
  }

  /** Takes over what another instance or the store told. */
  learn(evidence: Evidence): boolean {
    const isNews = this.parts.quarantine.learn(evidence);
    if (isNews) this.log(evidence, 'peer');
    return isNews;
  }

  /** Calls `listener` with the evidence that this instance makes. */
  subscribe(listener: (evidence: Evidence) => void): void {
    this.parts.quarantine.subscribe(listener);
  }

  /** Ends the decisions that are due. */
  stop(): void {
    this.parts.quarantine.stop();
  }

  holds(): Hold[] {
    return this.parts.quarantine.holds();
  }

  /** Gauges and counters of /metrics, by name. */
  gauges(): Record<string, number> {
    const {quarantine} = this.parts;
    const held = quarantine
      .holds()
      .filter(({state}) => state === HoldState.Held);
    return {
      prompt_parts_held: held.length,
      prompt_parts_suspected: quarantine.suspects().length,
      upstream_crashes_total: this.crashes,
    };
  }

  /**
   * Reports a crash if the process of the upstream has ended. Each broken answer
   * is followed by probes of its own, since an earlier one may have broken off
   * for another reason.
   */
  private async examine(
    endpoint: Endpoint,
    examination: Examination,
  ): Promise<void> {
    const {pending, finished} = examination;
    let verdict = Verdict.Unproven;
    while (pending.length > 0) {
      const due = await this.untilDue(examination);
      for (const answer of due) answer.probes++;
      verdict = await this.judge(endpoint, examination);
      const isOver = (answer: TimedBreak) => {
        switch (verdict) {
          case Verdict.Crashed:
          case Verdict.Leaving:
            return true;
          case Verdict.Lives:
            return due.includes(answer);
          case Verdict.Unproven:
            return nextProbeAt(answer) === Infinity;
        }
      };
      finished.push(...pending.filter(isOver));
      pending.splice(0, Infinity, ...pending.filter(one => !isOver(one)));
    }
    this.examinations.delete(endpoint);
    this.logExamined(endpoint, examination, verdict);
  }

  /** Waits for the next probe; returns the answers that it is due for. */
  private async untilDue(examination: Examination): Promise<TimedBreak[]> {
    const {timer} = this.parts;
    const {pending, probedAt} = examination;
    for (;;) {
      const dueAt = Math.min(...pending.map(nextProbeAt));
      const waitMs = Math.max(dueAt, probedAt + MIN_PROBE_GAP_MS) - timer.now();
      if (waitMs <= 0) break;
      examination.wake = new AbortController();
      await timer.sleep(waitMs, examination.wake.signal);
    }
    const now = timer.now();
    examination.probedAt = now;
    return pending.filter(answer => nextProbeAt(answer) <= now + SHARED_MS);
  }

  /** Probes the upstream, and reports a crash if it has ended. */
  private async judge(
    endpoint: Endpoint,
    {pending, results}: Examination,
  ): Promise<Verdict> {
    const {state} = endpoint.entry;
    // The own links may be cut: an upstream has ended if peers don't reach it.
    const result = await this.parts.probes.probe(endpoint, Path.Relayed);
    results.push(result);
    if (result === ProbeResult.Refused) {
      // One that drains may end while it still answers.
      if (state !== EntryState.Ready) return Verdict.Leaving;
      this.report(endpoint, pending);
      return Verdict.Crashed;
    }
    // Connections to plain services are reset for many reasons.
    const isPlain = !pending.some(({parts}) => hasPromptParts(parts));
    return showsLife(result) && isPlain ? Verdict.Lives : Verdict.Unproven;
  }

  private logExamined(
    {id}: Endpoint,
    {finished, results}: Examination,
    verdict: Verdict,
  ): void {
    const requests = finished.map(({request}) => request);
    this.parts.logger.info(
      {
        event: LogEvent.Examined,
        upstream: id,
        requests: requests.slice(0, MAX_LOGGED_REQUESTS),
        broken: requests.length,
        probes: results.slice(-MAX_LOGGED_PROBES),
        verdict,
      },
      'An upstream broke off answers at their beginning and was probed.',
    );
  }

  /** Logs which parts an answer clears of the crashes before it. */
  private logCleared({request, upstream, parts, sign}: SurvivedAnswer): void {
    const {quarantine, logger} = this.parts;
    const cleared = quarantine
      .suspects()
      .filter(({part}) => parts.slice(0, -1).includes(part))
      .map(({part, crashes}) => ({part, crashes}));
    if (cleared.length === 0) return;
    logger.info(
      {event: LogEvent.Cleared, request, upstream, sign, cleared},
      'An answer clears prompt parts that were suspected of crashing upstreams.',
    );
  }

  private report(
    {id, entry: {startedAt}}: Endpoint,
    answers: readonly TimedBreak[],
  ): void {
    this.crashes++;
    // Connections that broke off before may have done so for other reasons.
    const at = Math.max(...answers.map(answer => answer.at));
    const suspects = answers.map(({request, parts, sentAt}): Suspect => ({
      request,
      parts: parts.slice(0, -1),
      openMs: at - sentAt,
    }));
    this.parts.quarantine.recordCrash({
      type: 'crash',
      upstream: id,
      startedAt: startedAt ?? 0,
      reporter: this.parts.instance,
      suspects,
      at,
    });
  }

  private log(evidence: Evidence, source: 'own' | 'peer'): void {
    const {logger, timer} = this.parts;
    switch (evidence.type) {
      case 'crash': {
        const {upstream, startedAt, reporter, suspects, at} = evidence;
        const ageMs = Math.round(timer.now() - at);
        logger.warn(
          {
            event: LogEvent.Crash,
            upstream,
            startedAt,
            reporter,
            source,
            ageMs,
            suspects,
          },
          'An upstream crashed while it began to answer.',
        );
        return;
      }
      case 'hold': {
        const {part, state, revision, crashes, decidedAt} = evidence;
        logger.warn(
          {
            event: LogEvent.Hold,
            prompt: part,
            state,
            revision,
            crashes,
            decidedAt,
            source,
          },
          state === HoldState.Held
            ? 'Requests that crash upstreams, by a prompt part or alone, are refused.'
            : 'Requests with a prompt part, or one request, are forwarded again.',
        );
        return;
      }
      case 'clearance':
        return;
    }
  }
}
