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

/** Times after the first broken answer at which an upstream is probed, in ms. */
const PROBE_DELAYS_MS = [30, 300, 1_000];
/** Most requests that one log line names. */
const MAX_LOGGED_REQUESTS = 16;

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
  /** Answers that broke off at upstreams of which more is to be learnt. */
  private readonly broken = new Map<Endpoint, TimedBreak[]>();
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

  /** Records that an answer got beyond its beginning. */
  recordAnswer(answer: SurvivedAnswer): void {
    const {quarantine} = this.parts;
    this.logCleared(answer);
    quarantine.recordAnswer(answer.parts);
  }

  /** Records an answer that its upstream broke off at the beginning. */
  recordBreak(endpoint: Endpoint, answer: BrokenAnswer): void {
    const at = this.parts.timer.now();
    const known = this.broken.get(endpoint);
    if (known !== undefined) {
      known.push({...answer, at});
      return;
    }
    const answers = [{...answer, at}];
    this.broken.set(endpoint, answers);
    void this.examine(endpoint, answers, at);
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

  /** Reports a crash if the process of the upstream has ended. */
  private async examine(
    endpoint: Endpoint,
    answers: TimedBreak[],
    at: number,
  ): Promise<void> {
    const {timer, probes} = this.parts;
    const {state} = endpoint.entry;
    const results: ProbeResult[] = [];
    let verdict = Verdict.Unproven;
    for (const delayMs of PROBE_DELAYS_MS) {
      await timer.sleep(Math.max(0, at + delayMs - timer.now()));
      // The own links may be cut: an upstream has ended if peers don't reach it.
      const result = await probes.probe(endpoint, Path.Relayed);
      results.push(result);
      // Connections to plain services are reset for many reasons.
      const isPlain = !answers.some(({parts}) => hasPromptParts(parts));
      if (showsLife(result) && isPlain) {
        verdict = Verdict.Lives;
        break;
      }
      if (result !== ProbeResult.Refused) continue;
      // One that drains may end while it still answers.
      verdict = state === EntryState.Ready ? Verdict.Crashed : Verdict.Leaving;
      break;
    }
    if (verdict === Verdict.Crashed) this.report(endpoint, answers);
    this.broken.delete(endpoint);
    this.logExamined(endpoint, answers, results, verdict);
  }

  private logExamined(
    {id}: Endpoint,
    answers: readonly TimedBreak[],
    probes: readonly ProbeResult[],
    verdict: Verdict,
  ): void {
    const requests = answers.map(({request}) => request);
    this.parts.logger.info(
      {
        event: LogEvent.Examined,
        upstream: id,
        requests: requests.slice(0, MAX_LOGGED_REQUESTS),
        broken: requests.length,
        probes,
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
