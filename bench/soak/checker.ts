import {BOUNDS, RequestKind, runsOnce, serviceOf} from './deployment.js';
import {
  isFault,
  Nature,
  STORE,
  type AcceptedConfiguration,
  type Arrival,
  type SentRequest,
  type SoakHistory,
} from './history.js';
import {
  describeAnswer,
  describeDenial,
  describeEvents,
  isServed,
  isUnanswered,
  mustBeServed,
} from './expectation.js';
import type {Lateness} from './lateness.js';
import {
  findingOf,
  findingsOf,
  Promised,
  type Description,
  type Finding,
  type Violation,
} from './promise.js';
import type {DeclaredLimits} from './limits.js';
import {checkRunning} from './ownends.js';
import {PromptChecker} from './promptchecker.js';
import {VersionChecker} from './versionchecker.js';

const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Answers that may be lost by an instance in touch without planned work. */
const LOST_LIMIT = 3;
/** Time of the last requests that must all be served, in ms. */
const LONGEST_ANSWER_MS = 4_000;

/** Judges by what callers, upstreams and the store saw. */
export class Checker {
  readonly prompts: PromptChecker;
  readonly softwareVersions: VersionChecker;

  constructor(
    private readonly history: SoakHistory,
    private readonly lateness: Lateness,
    private readonly limits?: DeclaredLimits,
  ) {
    this.prompts = new PromptChecker(history);
    this.softwareVersions = new VersionChecker(history);
  }

  /**
   * Counts what the bounds in time were judged on: leaves and configurations,
   * each once for every undisturbed gateway, and requests in planned work.
   */
  countJudged(gateways: string[]): Record<string, number> {
    const {leaves, configurations, requests} = this.history;
    const countHeld = (times: number[], boundMs: number) =>
      times.flatMap(at =>
        gateways.filter(gateway =>
          this.isUndisturbed(
            [gateway, STORE],
            Math.min(at, at + boundMs - BOUNDS.stableWindowMs),
            at + boundMs + BOUNDS.downgradeSlackMs,
          ),
        ),
      ).length;
    const leftAt = leaves.map(({at}) => at);
    const acceptedAt = configurations.map(one => one.acceptedAt);
    return {
      leaves: countHeld(leftAt, BOUNDS.drainMs),
      configurations: countHeld(acceptedAt, BOUNDS.configApplyMs),
      plannedWork: [...requests.values()].filter(request =>
        this.isInPlannedWork(request),
      ).length,
    };
  }

  /** Returns all broken promises so far. */
  check(): Violation[] {
    const requests = [...this.history.requests.values()];
    return Object.values(Promised).flatMap(promise =>
      this.findings(promise, requests).map(finding => ({promise, ...finding})),
    );
  }

  private findings(promise: Promised, requests: SentRequest[]): Finding[] {
    const ofEach = (describe: Description) => findingsOf(requests, describe);
    switch (promise) {
      case Promised.Once:
        return ofEach(request => this.describeRepetition(request));
      case Promised.NotRun:
        return ofEach(request => this.describeFalseRefusal(request));
      case Promised.Whole:
        return ofEach(request =>
          describeAnswer(request, this.history.arrivalsOf(request.id)),
        );
      case Promised.Order:
        return ofEach(describeEvents);
      case Promised.Unchanged:
        return this.history.arrivals.flatMap(arrival =>
          this.checkUnchanged(arrival),
        );
      case Promised.Keys:
        return this.runs().flatMap(([request, run]) =>
          this.checkKey(request, run),
        );
      case Promised.SoftwareVersion:
        return this.softwareVersions.check();
      case Promised.Denied:
        return ofEach(describeDenial);
      case Promised.Leaving:
        return this.checkLeaving();
      case Promised.Versions:
        return [...this.checkLateVersions(), ...this.checkRegress()];
      case Promised.Answered:
        return this.checkAnswered(requests);
      case Promised.Served:
        return this.checkServed(requests);
      case Promised.Spared:
        return this.prompts.checkSpared();
      case Promised.Limited:
        return this.limits?.check() ?? [];
      case Promised.Running:
        return checkRunning(this.history.ownEnds);
      case Promised.SoundPrompts:
        return this.prompts.checkSound();
    }
  }

  private describeRepetition({id, kind}: SentRequest): string | undefined {
    const runs = this.runsOf(id);
    if (!runsOnce(kind) || runs.length <= 1) return undefined;
    return `ran ${runs.length} times`;
  }

  private describeFalseRefusal(request: SentRequest): string | undefined {
    const {id, kind, outcome} = request;
    if (!runsOnce(kind) || outcome?.type !== 'answered') return undefined;
    const isRefusal = NOT_RUN_STATUSES.has(outcome.status);
    if (!isRefusal || this.runsOf(id).length === 0) return undefined;
    return `answered ${outcome.status}, but ran`;
  }

  private checkUnchanged(arrival: Arrival): Finding[] {
    const request = this.history.requests.get(arrival.request);
    const finding = (message: string): Finding => ({
      request: arrival.request,
      message: `${message}, at ${arrival.upstream}`,
      at: arrival.at,
      touchedByStall: false,
    });
    if (request === undefined) return [finding('unknown request')];
    const method = request.body === '' ? 'GET' : 'POST';
    const isSame =
      arrival.method === method &&
      arrival.path === request.path &&
      arrival.body === request.body;
    if (!isSame) return [finding('changed method, path or body')];
    if (arrival.ran && arrival.service !== serviceOf(request.kind)) {
      return [finding('ran at a service that is not of its route')];
    }
    return [];
  }

  private checkKey(request: SentRequest, run: Arrival): Finding[] {
    if (run.authorization !== undefined) {
      return [findingOf(request, 'the key was passed on')];
    }
    if (request.kind === RequestKind.Public) {
      const isForged = run.tenant === 'forged';
      return isForged ? [findingOf(request, 'forged workspace')] : [];
    }
    const [workspace] = run.tenant?.split('.') ?? [];
    const configuration = this.configurationOf(run);
    const holder = configuration?.keys.get(request.key ?? '');
    if (holder !== undefined && holder === workspace) return [];
    const message = `ran with key ${request.key} as ${run.tenant}`;
    return [findingOf(request, message)];
  }

  private checkLeaving(): Finding[] {
    return this.history.leaves.flatMap(leave => {
      // A gateway counts from when the announcement reached it.
      const passMs = leave.gateway === undefined ? 0 : BOUNDS.passMs;
      const dueAt = leave.at + BOUNDS.drainMs + passMs;
      return this.history.arrivals.flatMap(arrival => {
        const {upstream, incarnation, at, status} = arrival;
        const isLate =
          upstream === leave.upstream &&
          incarnation === leave.incarnation &&
          at > dueAt &&
          status !== 421;
        const request = this.history.requests.get(arrival.request);
        if (!isLate || request === undefined) return [];
        if (request.gateway !== (leave.gateway ?? request.gateway)) return [];
        const since = Math.min(leave.at, at - BOUNDS.stableWindowMs);
        if (!this.isUndisturbed([request.gateway, STORE], since, at)) return [];
        if (this.isLinkHarmed(upstream, since, at)) return [];
        const message = `reached ${upstream} ${Math.round(at - leave.at)} ms after it was ${leave.how}`;
        return [this.boundedFinding(request, message, leave.at, at - dueAt)];
      });
    });
  }

  private checkLateVersions(): Finding[] {
    const {configurations} = this.history;
    return this.runs().flatMap(([request, run]) => {
      const version = versionOf(run);
      if (version === undefined) return [];
      const newer = configurations.find(
        candidate =>
          candidate.version > version &&
          candidate.acceptedAt + BOUNDS.configApplyMs < request.sentAt,
      );
      if (newer === undefined) return [];
      const {acceptedAt} = newer;
      const since = Math.min(acceptedAt, run.at - BOUNDS.stableWindowMs);
      const targets = [request.gateway, STORE];
      if (!this.isUndisturbed(targets, since, run.at)) return [];
      const lateMs = request.sentAt - acceptedAt;
      const message = `ran by version ${version}, ${Math.round(lateMs)} ms after version ${newer.version}`;
      const excessMs = lateMs - BOUNDS.configApplyMs;
      return [this.boundedFinding(request, message, acceptedAt, excessMs)];
    });
  }

  private checkRegress(): Finding[] {
    const newest = new Map<string, {version: number; at: number}>();
    const findings: Finding[] = [];
    for (const [request, run] of this.runs()) {
      const version = versionOf(run);
      if (version === undefined) continue;
      const process = `${request.gateway} ${request.incarnation}`;
      const seen = newest.get(process);
      if (seen === undefined || version >= seen.version) {
        // The time of the first run by a version counts.
        if (version !== seen?.version) {
          newest.set(process, {version, at: run.at});
        }
        continue;
      }
      const since = run.at - BOUNDS.stableWindowMs;
      const isSlowed = !this.isUndisturbed([request.gateway], since, run.at);
      const slackMs = isSlowed
        ? BOUNDS.slowedDowngradeSlackMs
        : BOUNDS.downgradeSlackMs;
      if (request.sentAt <= seen.at + slackMs) continue;
      const message = `ran by version ${version} after ${seen.version}`;
      findings.push(findingOf(request, message));
    }
    return findings;
  }

  /** Finds requests that a sound upstream worked on, and that got no answer. */
  private checkAnswered(requests: SentRequest[]): Finding[] {
    const lost = requests.filter(
      request =>
        isUnanswered(request, this.metSilence(request)) &&
        this.isOwedAnswer(request),
    );
    const unexcused = lost.filter(
      request => this.isInPlannedWork(request) || this.metSilence(request),
    );
    const others = lost.filter(request => !unexcused.includes(request));
    const counted = others.length > LOST_LIMIT ? others : [];
    return [...unexcused, ...counted].map(request =>
      findingOf(request, 'a sound upstream worked on it; no whole answer'),
    );
  }

  /** Whether an upstream worked on a request without any fault nearby. */
  private isOwedAnswer(request: SentRequest): boolean {
    const {id, kind, gateway, outcome, sentAt, prompt} = request;
    const runs = this.runsOf(id);
    if (outcome === undefined || runs.length === 0) return false;
    if (prompt?.badPart !== undefined) return false;
    // Faults of the store excuse nothing for requests without a key.
    const ownStore = kind === RequestKind.Public ? [] : [STORE];
    const targets = [gateway, ...ownStore, ...runs.map(run => run.upstream)];
    const since = sentAt - BOUNDS.stableWindowMs;
    return this.isCalm(targets, since, outcome.endedAt);
  }

  /** Whether an upstream that got a request was silent meanwhile. */
  private metSilence({id, sentAt, outcome}: SentRequest): boolean {
    const upstreams = this.runsOf(id).map(({upstream}) => upstream);
    return this.history
      .disruptionsOf(upstreams, sentAt, outcome?.endedAt ?? Infinity)
      .some(({nature}) => nature === Nature.Silence);
  }

  private isInPlannedWork(request: SentRequest): boolean {
    const {gateway, outcome, sentAt} = request;
    if (outcome === undefined || !this.isOwedAnswer(request)) return false;
    return this.history
      .disruptionsOf([gateway], sentAt, outcome.endedAt)
      .some(({nature}) => !isFault(nature));
  }

  private checkServed(requests: SentRequest[]): Finding[] {
    const {calmSince} = this.history;
    if (calmSince === undefined) return [];
    const dueAt = calmSince + BOUNDS.recoveryMs;
    return requests.flatMap(request => {
      const {sentAt, outcome} = request;
      const isDue = sentAt > dueAt && mustBeServed(request);
      const ended = this.history.now() - sentAt > LONGEST_ANSWER_MS;
      if (!isDue || isServed(request)) return [];
      if (outcome === undefined && !ended) return [];
      return [findingOf(request, 'not served after the last fault')];
    });
  }

  /** Whether all requests of a time were served, some at each gateway. */
  allServed(gateways: string[], from: number, to: number): boolean {
    const requests = [...this.history.requests.values()].filter(
      request =>
        request.sentAt >= from && request.sentAt < to && mustBeServed(request),
    );
    const isUsed = (name: string) =>
      requests.some(({gateway}) => gateway === name);
    return gateways.every(isUsed) && requests.every(isServed);
  }

  private runs(): Array<[SentRequest, Arrival]> {
    return this.history.arrivals.flatMap(arrival => {
      const request = this.history.requests.get(arrival.request);
      const isRun = arrival.ran && request !== undefined;
      return isRun ? [[request, arrival] as [SentRequest, Arrival]] : [];
    });
  }

  private runsOf(id: string): Arrival[] {
    return this.history.arrivalsOf(id).filter(({ran}) => ran);
  }

  private configurationOf(run: Arrival): AcceptedConfiguration | undefined {
    const version = versionOf(run);
    return this.history.configurations.find(one => one.version === version);
  }

  /** Whether no fault disturbed any of the targets; planned work may have. */
  private isCalm(targets: string[], from: number, to: number): boolean {
    return this.history
      .disruptionsOf(targets, from, to)
      .every(({nature}) => !isFault(nature));
  }

  private isLinkHarmed(upstream: string, from: number, to: number): boolean {
    return this.history
      .disruptionsOf([upstream], from, to)
      .some(({nature}) => nature === Nature.LinkFault);
  }

  /** Whether bounds in time hold for all of the targets. */
  private isUndisturbed(targets: string[], from: number, to: number): boolean {
    return this.history
      .disruptionsOf(targets, from, to)
      .every(({nature}) => nature === Nature.Reload);
  }

  /** A finding by a bound in time that was exceeded by `excessMs`. */
  private boundedFinding(
    request: SentRequest,
    message: string,
    from: number,
    excessMs: number,
  ): Finding {
    const stalledMs = this.lateness.stalledMs(from, this.history.now());
    const touchedByStall = stalledMs >= excessMs;
    return {...findingOf(request, message), touchedByStall};
  }
}

function versionOf({tenant}: Arrival): number | undefined {
  const version = Number(tenant?.split('.')[1]);
  return Number.isInteger(version) ? version : undefined;
}
