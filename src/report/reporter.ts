import {z} from 'zod';
import type {ConfigurationFollower} from '../config/index.js';
import {MemberState, type Membership} from '../instance/index.js';
import type {PeerClient, PeerServer} from '../instance/index.js';
import type {Log} from '../platform/index.js';
import {
  historySnapshotSchema,
  HISTORY_MS,
  type MeteredRecorder,
} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import {burnReport, type BurnReport} from './burn.js';
import {
  GapReason,
  incarnationKey,
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

/** What is known of one request. */
export interface Explanation {
  request: string;
  /** What each instance that remembers the request did, in sentences. */
  accounts: Array<{instance: string; sentences: string[]}>;
  /** Live instances that did not answer, and may know more. */
  silent: Array<{instance: string; failure: string}>;
}

/** What a [[Reporter]] needs of the rest of the instance. */
export interface ReporterParts {
  recorder: MeteredRecorder;
  follower: ConfigurationFollower;
  membership: Membership;
  peerClient: PeerClient;
  peerServer: PeerServer;
  log: Log;
  timer: Timer;
  /** Returns what this instance sees of the fleet. */
  view: () => Promise<InstanceView>;
}

/**
 * Answers operators' questions about the whole fleet. Every instance can be
 * asked: it asks its live peers, and reads from the log what instances that
 * are gone have left.
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

  /** Reports on service-level burn over the fleet. */
  async burn(): Promise<BurnReport> {
    const {membership, log, timer, follower} = this.parts;
    const now = timer.wallNow();
    const [gathered, summaries] = await Promise.all([
      this.survey.ask(ReportMethod.Account, {}, contributionSchema),
      readSummaries(log, now - HISTORY_MS),
    ]);
    const live = [this.ownContribution(), ...gathered.answers].map(
      answer => ({...answer, source: Source.Live}) satisfies Contribution,
    );
    const answered = new Set(live.map(incarnationKey));
    const silent = new Set(gathered.silent.map(({instance}) => instance));
    const shares = summaries.isOk()
      ? contributionsFromSummaries(summaries.value, answered, silent, now)
      : {contributions: [], gaps: []};
    const contributions = [...live, ...shares.contributions];
    return burnReport({
      askedInstance: membership.self().name,
      at: timer.wallNow(),
      configuration: follower.current(),
      contributions,
      silent: gathered.silent,
      gaps: [...shares.gaps, ...this.unseen(contributions)],
      log: summaries.isOk()
        ? {type: 'read', summaries: summaries.value.length}
        : {type: 'unavailable', failure: summaries.error.type},
    });
  }

  /** Tells what was done with a request, by every instance that knows it. */
  async explain(request: string): Promise<Explanation> {
    const gathered = await this.survey.ask(
      ReportMethod.Trace,
      {request},
      traceAnswerSchema,
    );
    const answers = [this.ownTrace(request), ...gathered.answers];
    const accounts = answers.flatMap(({instance, trace}) =>
      trace === undefined ? [] : [{instance, sentences: explain(trace)}],
    );
    return {request, accounts, silent: gathered.silent};
  }

  /** Shows the views of all live instances side by side. */
  async fleet(): Promise<FleetReport> {
    const {membership, timer, view} = this.parts;
    const [own, gathered] = await Promise.all([
      view(),
      this.survey.ask(ReportMethod.View, {}, instanceViewSchema),
    ]);
    const views = [own, ...gathered.answers].sort((a, b) =>
      a.instance.localeCompare(b.instance),
    );
    return {
      askedInstance: membership.self().name,
      at: timer.wallNow(),
      views,
      silent: gathered.silent,
      disagreements: findDisagreements(views),
    };
  }

  private ownContribution() {
    const {name, incarnation} = this.parts.membership.self();
    const account = this.parts.recorder.historySnapshot();
    return {instance: name, incarnation, account};
  }

  private ownTrace(request: string) {
    const trace = this.parts.recorder.trace(request);
    const instance = this.parts.membership.self().name;
    return trace === undefined ? {instance} : {instance, trace};
  }

  /** Instances that are known to have run and gave nothing at all. */
  private unseen(contributions: readonly Contribution[]): Gap[] {
    const seen = new Set(contributions.map(incarnationKey));
    return this.parts.membership.all().flatMap(member => {
      const {name: instance, incarnation, state} = member;
      if (seen.has(incarnationKey({instance, incarnation}))) return [];
      const reason =
        state === MemberState.Dead ? GapReason.NoSummary : GapReason.Silent;
      return [{instance, incarnation, reason}];
    });
  }
}
