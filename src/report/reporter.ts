import {z} from 'zod';
import type {ConfigurationFollower} from '../config/index.js';
import {MemberState, type Membership} from '../instance/index.js';
import type {PeerClient, PeerServer} from '../instance/index.js';
import type {Log} from '../platform/index.js';
import {
  historySnapshotSchema,
  HISTORY_MS,
  type MeteredRecorder,
  type SummaryAuthor,
} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import {burnReport, type BurnReport} from './burn.js';
import {
  GapReason,
  incarnationKey,
  isOfIncarnation,
  Source,
  type Contribution,
  type Gap,
} from './contribution.js';
import {explain} from './explanation.js';
import {PeerSurvey, ReportMethod} from './peersurvey.js';
import {readSummaries, contributionsFromSummaries} from './summaries.js';
import {
  findDisagreements,
  instanceViewSchema,
  type FleetReport,
  type InstanceView,
} from './fleetreport.js';

const contributionSchema = z.object({
  instance: z.string(),
  incarnation: z.number(),
  account: historySnapshotSchema,
});

const traceAnswerSchema = z.object({
  instance: z.string(),
  trace: z
    .object({
      request: z.string(),
      entries: z.array(z.object({at: z.number(), decision: z.any()})),
      dropped: z.number(),
    })
    .optional(),
});

const requestSchema = z.object({request: z.string()});

/** Decisions about one request, collected from all live instances. */
export interface Explanation {
  request: string;
  /** Sentences from each instance that has a trace of the request. */
  accounts: Array<{instance: string; sentences: string[]}>;
  /** Live instances that did not answer and may have a trace too. */
  silent: Array<{instance: string; failure: string}>;
}

/** Dependencies of [[Reporter]]. */
export interface ReporterParts {
  /** As which this instance writes its summaries. */
  author: SummaryAuthor;
  recorder: MeteredRecorder;
  follower: ConfigurationFollower;
  membership: Membership;
  peerClient: PeerClient;
  peerServer: PeerServer;
  log: Log;
  timer: Timer;
  /** Captures the state of the fleet as this instance sees it. */
  view: () => Promise<InstanceView>;
}

/**
 * Builds reports on the whole fleet, on any instance. It calls the live peers,
 * and the burn report also reads the summaries of instances that are gone from
 * the log.
 */
export class Reporter {
  private readonly survey: PeerSurvey;

  constructor(private readonly parts: ReporterParts) {
    const {membership, peerClient, peerServer} = parts;
    this.survey = new PeerSurvey(membership, peerClient);
    peerServer.handle(ReportMethod.Account, () =>
      Promise.resolve(this.ownContribution()),
    );
    peerServer.handle(ReportMethod.Trace, params =>
      Promise.resolve(this.ownTrace(requestSchema.parse(params).request)),
    );
    peerServer.handle(ReportMethod.View, () => parts.view());
  }

  /** Reports the error-budget burn of the whole fleet. */
  async burn(): Promise<BurnReport> {
    const {membership, log, timer, follower} = this.parts;
    const now = timer.wallNow();
    const [peerAnswers, summaries] = await Promise.all([
      this.survey.ask(ReportMethod.Account, {}, contributionSchema),
      readSummaries(log, now - HISTORY_MS),
    ]);
    const live = [this.ownContribution(), ...peerAnswers.answers].map(
      answer => ({...answer, source: Source.Live}) satisfies Contribution,
    );
    const liveIncarnations = new Set(live.map(incarnationKey));
    const silentInstances = new Set(
      peerAnswers.silent.map(({instance}) => instance),
    );
    const summarized = summaries.isOk()
      ? contributionsFromSummaries(
          summaries.value,
          liveIncarnations,
          silentInstances,
          now,
        )
      : {contributions: [], gaps: []};
    const contributions = [...live, ...summarized.contributions];
    return burnReport({
      askedInstance: membership.self().name,
      at: timer.wallNow(),
      configuration: follower.current(),
      contributions,
      silent: peerAnswers.silent,
      gaps: [
        ...summarized.gaps,
        ...this.gapsWithoutContribution(contributions),
      ],
      log: summaries.isOk()
        ? {type: 'read', summaries: summaries.value.length}
        : {type: 'unavailable', failure: summaries.error.type},
    });
  }

  /** Explains the decisions that live instances took on a request. */
  async explain(request: string): Promise<Explanation> {
    const peerAnswers = await this.survey.ask(
      ReportMethod.Trace,
      {request},
      traceAnswerSchema,
    );
    const answers = [this.ownTrace(request), ...peerAnswers.answers];
    const accounts = answers.flatMap(({instance, trace}) =>
      trace === undefined ? [] : [{instance, sentences: explain(trace)}],
    );
    return {request, accounts, silent: peerAnswers.silent};
  }

  /** Collects the views that all live instances have of the fleet. */
  async fleet(): Promise<FleetReport> {
    const {membership, timer, view} = this.parts;
    const [ownView, peerAnswers] = await Promise.all([
      view(),
      this.survey.ask(ReportMethod.View, {}, instanceViewSchema),
    ]);
    const views = [ownView, ...peerAnswers.answers].sort((a, b) =>
      a.instance.localeCompare(b.instance),
    );
    return {
      askedInstance: membership.self().name,
      at: timer.wallNow(),
      views,
      silent: peerAnswers.silent,
      disagreements: findDisagreements(views),
    };
  }

  private ownContribution() {
    const {author, recorder} = this.parts;
    return {...author, account: recorder.historySnapshot()};
  }

  private ownTrace(request: string) {
    const trace = this.parts.recorder.trace(request);
    const instance = this.parts.membership.self().name;
    return trace === undefined ? {instance} : {instance, trace};
  }

  /** Gaps for known incarnations without any contribution. */
  private gapsWithoutContribution(
    contributions: readonly Contribution[],
  ): Gap[] {
    return this.parts.membership.all().flatMap(member => {
      const {name: instance, incarnation, state} = member;
      const isReported = contributions.some(contribution =>
        isOfIncarnation(contribution, {instance, incarnation}),
      );
      if (isReported) return [];
      const reason =
        state === MemberState.Dead ? GapReason.NoSummary : GapReason.Silent;
      return [{instance, incarnation, reason}];
    });
  }
}
