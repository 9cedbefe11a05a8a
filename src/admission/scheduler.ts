import {err, type Result} from 'neverthrow';
import type {Configuration} from '../config/index.js';
import {LengthEstimator} from '../estimation/index.js';
import type {Membership} from '../instance/member.js';
import {
  AttemptEnd,
  Outcome,
  type Demand,
  type FailureConclusion,
  type Placement,
  type PlacementHistory,
  type Scheduler,
  type ParsedRequest,
} from '../request/index.js';
import {ShedReason, WasteCause, type Recorder} from '../telemetry/index.js';
import type {Subscription, Timer} from '../timer/index.js';
import {
  UpstreamSubsets,
  type Directory,
  type Upstream,
} from '../upstream/index.js';
import {LinkBudgets, Topology} from '../zone/index.js';
import {UpstreamSelector} from './upstreamselector.js';
import {RequestLimiter} from './requestlimiter.js';
import type {QueueEntry} from './queueentry.js';
import {createQueueEntry} from './createentry.js';
import {RequestDispatcher} from './requestdispatcher.js';
import {SheddingCoordinator} from './shedding.js';
import type {RunningAttempt} from './runningattempt.js';

const TICK_MS = 50;
/** Ticks between two looks at the fleet. */
const FLEET_TICKS = 10;

/** What an [[AdmissionScheduler]] needs of the rest of the instance. */
export interface SchedulerDependencies {
  directory: Directory;
  membership: Membership;
  timer: Timer;
  recorder: Recorder;
  /** Zone this instance runs in. */
  zone: string;
  /** Source of randomness in [0, 1). */
  random: () => number;
}

/** What the lines of an [[AdmissionScheduler]] share. */
export interface DispatcherDependencies extends SchedulerDependencies {
  selector: UpstreamSelector;
  vicinities: UpstreamSubsets;
  limiter: RequestLimiter;
  answerLengths: LengthEstimator;
  linkBudgets: LinkBudgets;
  shedding: SheddingCoordinator;
  floorShareOf(className: string): number;
  /** Lowest tier of any class. */
  lowestTier(): number;
  /** Takes in how an attempt ended. */
  onAttemptEnd(running: RunningAttempt, end: AttemptEnd): void;
}

/**
 * Queues requests by tier, target and workspace, limits what runs at once,
 * sheds the least gain, and chooses upstreams by expected time.
 */
export class AdmissionScheduler implements Scheduler {
  private readonly lines = new Map<string, RequestDispatcher>();
  private readonly vicinities: UpstreamSubsets;
  private readonly budgets = new LinkBudgets();
  private readonly lengths = new LengthEstimator();
  private readonly limits: RequestLimiter;
  private readonly parts: DispatcherDependencies;
  private readonly chooser: UpstreamSelector;
  private readonly floorShares = new Map<string, number>();
  private lowest = 0;
  private instances = 1;
  private neighbours = 1;
  private fleet = '';
  private configuration?: Configuration;
  private subscription?: Subscription;
  private ticks = 0;

  constructor(private readonly given: SchedulerDependencies) {
    const {directory, membership, timer, random} = given;
    this.vicinities = new UpstreamSubsets(directory);
    this.limits = new RequestLimiter(() => this.instances);
    this.chooser = new UpstreamSelector({
      vicinities: this.vicinities,
      instances: {
        inFleet: () => this.instances,
        inRegion: () => this.neighbours,
      },
      topology: new Topology(given.zone, {zones: [], links: []}),
      linkBudgets: this.budgets,
      timer,
      random,
    });
    this.parts = {
      ...given,
      selector: this.chooser,
      vicinities: this.vicinities,
      limiter: this.limits,
      answerLengths: this.lengths,
      linkBudgets: this.budgets,
      shedding: new SheddingCoordinator(membership),
      floorShareOf: name => this.floorShares.get(name) ?? 0,
      lowestTier: () => this.lowest,
      onAttemptEnd: (running, end) => this.learn(running, end),
    };
  }

  /** Follows a configuration, after the directory has. */
  apply(configuration: Configuration): void {
    this.configuration = configuration;
    this.floorShares.clear();
    for (const {name, floorShare} of configuration.classes) {
      this.floorShares.set(name, floorShare);
    }
    this.lowest = Math.max(...configuration.classes.map(({tier}) => tier));
    this.locate(configuration);
    this.dispatch();
  }

  /** Starts the work that time alone brings about. */
  start(): void {
    this.subscription = this.given.timer.every(TICK_MS, () => this.tick());
  }

  stop(): void {
    this.subscription?.end();
  }

  /** Starts waiting requests, such as after a load report. */
  dispatch(): void {
    for (const line of this.lines.values()) line.dispatch();
  }

  /** Upstreams whose reports this instance needs. */
  candidateUpstreams(): Set<Upstream> {
    return this.vicinities.allUpstreams();
  }

  acquire(
    work: ParsedRequest,
    history: PlacementHistory,
    signal: AbortSignal,
  ): Promise<Result<Placement, FailureConclusion>> {
    const line = this.lineOf(work.demand);
    return new Promise(resolve => {
      const entry = createQueueEntry(
        this.parts,
        work,
        history,
        signal,
        resolve,
      );
      const refusal = this.refusal(entry, line);
      if (refusal !== undefined) {
        resolve(err(refusal));
        return;
      }
      this.admit(entry, line);
    });
  }

  private admit(entry: QueueEntry, line: RequestDispatcher): void {
    const {timer} = this.given;
    const cancel = () => line.endWait(entry, {type: 'cancelled'});
    const settle = entry.settle.bind(entry);
    const expiry = timer.after(entry.work.deadlineAt - timer.now(), () =>
      line.endWait(entry, {type: 'deadlineExceeded'}),
    );
    entry.settle = result => {
      expiry.end();
      entry.signal.removeEventListener('abort', cancel);
      settle(result);
    };
    entry.signal.addEventListener('abort', cancel, {once: true});
    line.enqueue(entry);
  }

  /** Why a request is refused on arrival, if it is. */
  private refusal(
    entry: QueueEntry,
    line: RequestDispatcher,
  ): FailureConclusion | undefined {
    const {work, history, signal} = entry;
    const outcome = Outcome.NotRun;
    if (signal.aborted) return {outcome, failure: {type: 'cancelled'}};
    const now = this.given.timer.now();
    if (now >= work.deadlineAt) {
      return {outcome, failure: {type: 'deadlineExceeded'}};
    }
    if (history.tried.size === 0) {
      const limited = this.limits.checkArrival(work, now);
      if (limited !== undefined) {
        this.shed(work, limited.reason);
        return {outcome, failure: limited.failure};
      }
    }
    if (this.chooser.hasUpstream(entry)) return undefined;
    this.shed(work, ShedReason.NoUpstream);
    const retryAfterMs = line.retryAfterMs(work.serviceClass.tier);
    return {outcome, failure: {type: 'noUpstream', retryAfterMs}};
  }

  private shed(work: ParsedRequest, reason: ShedReason): void {
    this.given.recorder.recordDecision(work.id, {type: 'shed', reason});
  }

  private learn(running: RunningAttempt, end: AttemptEnd): void {
    const {work} = running.entry;
    const tokens = running.answerTokens;
    if (end === AttemptEnd.Completed) {
      if (tokens > 0) this.lengths.observe(work, tokens);
      return;
    }
    if (!running.preempted) return;
    const name = work.serviceClass.name;
    this.given.recorder.recordWastedTokens(WasteCause.Preempted, name, tokens);
  }

  private lineOf(demand: Demand): RequestDispatcher {
    const name =
      demand.type === 'generation' ? 'generation' : `service/${demand.service}`;
    const line = this.lines.get(name) ?? new RequestDispatcher(this.parts);
    this.lines.set(name, line);
    return line;
  }

  private tick(): void {
    this.ticks++;
    if (this.ticks % FLEET_TICKS === 0) this.lookAtFleet();
    this.dispatch();
  }

  private lookAtFleet(): void {
    let queued = 0;
    let running = 0;
    for (const line of this.lines.values()) {
      queued += line.waitingCount;
      running += line.running.size;
    }
    this.given.membership.updateStatus({queued, running});
    if (this.configuration !== undefined) this.locate(this.configuration);
  }

  /** Follows changes of places and of the live instances. */
  private locate(configuration: Configuration): void {
    const {membership, timer, zone} = this.given;
    const live = membership.live();
    this.instances = Math.max(1, live.length);
    this.budgets.apply(configuration, this.instances, timer.now());
    const names = live.map(member => `${member.name}@${member.zone}`).sort();
    const fleet = JSON.stringify([configuration.zones, names]);
    if (fleet === this.fleet) return;
    this.fleet = fleet;
    const topology = new Topology(zone, configuration);
    const located = live.map(member => ({
      name: member.name,
      zone: member.zone,
      region: topology.regionOf(member.zone),
    }));
    const name = membership.self().name;
    const self = {name, zone, region: topology.regionOf(zone)};
    const near = located.filter(({region}) => region === self.region);
    this.neighbours = Math.max(1, near.length);
    this.chooser.setTopology(topology);
    this.vicinities.apply({topology, self, instances: located});
  }
}
