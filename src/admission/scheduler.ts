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

const TICK_INTERVAL_MS = 50;
/** Ticks between two exchanges of load and members with the fleet. */
const TICKS_PER_FLEET_UPDATE = 10;

/** Dependencies of an [[AdmissionScheduler]]. */
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

/** Dependencies of a [[RequestDispatcher]], shared by all of a scheduler. */
export interface DispatcherDependencies extends SchedulerDependencies {
  selector: UpstreamSelector;
  vicinities: UpstreamSubsets;
  limiter: RequestLimiter;
  answerLengths: LengthEstimator;
  linkBudgets: LinkBudgets;
  shedding: SheddingCoordinator;
  /** Minimum share of the service that a class is guaranteed, 0 to 1. */
  floorShareOf(className: string): number;
  /** Lowest tier of any class; has the highest number. */
  lowestTier(): number;
  /** Called when an attempt has ended. */
  onAttemptEnd(attempt: RunningAttempt, end: AttemptEnd): void;
}

/**
 * Schedules requests: queues them by tier, latest start and workspace, enforces
 * limits, sheds load, and selects upstreams by estimated latency.
 */
export class AdmissionScheduler implements Scheduler {
  /** By service; all models share one. */
  private readonly dispatchers = new Map<string, RequestDispatcher>();
  private readonly vicinities: UpstreamSubsets;
  private readonly linkBudgets = new LinkBudgets();
  private readonly answerLengths = new LengthEstimator();
  private readonly limiter: RequestLimiter;
  private readonly dispatcherDeps: DispatcherDependencies;
  private readonly selector: UpstreamSelector;
  private readonly floorShares = new Map<string, number>();
  private lowestClassTier = 0;
  /** Live instances in the fleet, this one included. */
  private liveInstances = 1;
  /** Live instances in this region, this one included. */
  private regionInstances = 1;
  /** Zones and live instances that were last applied, as JSON. */
  private fleetFingerprint = '';
  private configuration?: Configuration;
  private subscription?: Subscription;
  private ticks = 0;

  constructor(private readonly deps: SchedulerDependencies) {
    const {directory, membership, timer, random} = deps;
    this.vicinities = new UpstreamSubsets(directory);
    this.limiter = new RequestLimiter(() => this.liveInstances);
    this.selector = new UpstreamSelector({
      vicinities: this.vicinities,
      instances: {
        inFleet: () => this.liveInstances,
        inRegion: () => this.regionInstances,
      },
      topology: new Topology(deps.zone, {zones: [], links: []}),
      linkBudgets: this.linkBudgets,
      timer,
      random,
    });
    this.dispatcherDeps = {
      ...deps,
      selector: this.selector,
      vicinities: this.vicinities,
      limiter: this.limiter,
      answerLengths: this.answerLengths,
      linkBudgets: this.linkBudgets,
      shedding: new SheddingCoordinator(membership),
      floorShareOf: className => this.floorShares.get(className) ?? 0,
      lowestTier: () => this.lowestClassTier,
      onAttemptEnd: (attempt, end) => this.observeEnd(attempt, end),
    };
  }

  /** Applies a configuration; the directory must have applied it first. */
  apply(configuration: Configuration): void {
    this.configuration = configuration;
    this.floorShares.clear();
    for (const {name, floorShare} of configuration.classes) {
      this.floorShares.set(name, floorShare);
    }
    this.lowestClassTier = Math.max(
      ...configuration.classes.map(({tier}) => tier),
    );
    this.applyFleet(configuration);
    this.dispatch();
  }

  /** Starts the periodic dispatch and fleet updates. */
  start(): void {
    this.subscription = this.deps.timer.every(TICK_INTERVAL_MS, () =>
      this.tick(),
    );
  }

  stop(): void {
    this.subscription?.end();
  }

  /** Starts waiting requests while upstreams have capacity. */
  dispatch(): void {
    for (const dispatcher of this.dispatchers.values()) dispatcher.dispatch();
  }

  /** Upstreams that requests may be placed on; their reports are polled. */
  candidateUpstreams(): Set<Upstream> {
    return this.vicinities.allUpstreams();
  }

  acquire(
    work: ParsedRequest,
    history: PlacementHistory,
    signal: AbortSignal,
  ): Promise<Result<Placement, FailureConclusion>> {
    const dispatcher = this.dispatcherFor(work.demand);
    return new Promise(resolve => {
      const entry = createQueueEntry(
        this.dispatcherDeps,
        work,
        history,
        signal,
        resolve,
      );
      const refusal = this.refusal(entry, dispatcher);
      if (refusal !== undefined) {
        resolve(err(refusal));
        return;
      }
      this.enqueue(entry, dispatcher);
    });
  }

  /** Queues a request and ends its wait on cancellation or at its deadline. */
  private enqueue(entry: QueueEntry, dispatcher: RequestDispatcher): void {
    const {timer} = this.deps;
    const cancel = () => dispatcher.endWait(entry, {type: 'cancelled'});
    const settle = entry.settle.bind(entry);
    const expiry = timer.after(entry.work.deadlineAt - timer.now(), () =>
      dispatcher.endWait(entry, {type: 'deadlineExceeded'}),
    );
    entry.settle = result => {
      expiry.end();
      entry.signal.removeEventListener('abort', cancel);
      settle(result);
    };
    entry.signal.addEventListener('abort', cancel, {once: true});
    dispatcher.enqueue(entry);
  }

  /** Returns why a request is refused on arrival, or undefined if it isn't. */
  private refusal(
    entry: QueueEntry,
    dispatcher: RequestDispatcher,
  ): FailureConclusion | undefined {
    const {work, history, signal} = entry;
    const outcome = Outcome.NotRun;
    if (signal.aborted) return {outcome, failure: {type: 'cancelled'}};
    const now = this.deps.timer.now();
    if (now >= work.deadlineAt) {
      return {outcome, failure: {type: 'deadlineExceeded'}};
    }
    if (history.tried.size === 0) {
      const limitRefusal = this.limiter.checkArrival(work, now);
      if (limitRefusal !== undefined) {
        this.shed(work, limitRefusal.reason);
        return {outcome, failure: limitRefusal.failure};
      }
    }
    if (this.selector.hasUpstream(entry)) return undefined;
    this.shed(work, ShedReason.NoUpstream);
    const retryAfterMs = dispatcher.retryAfterMs(work.serviceClass.tier);
    return {outcome, failure: {type: 'noUpstream', retryAfterMs}};
  }

  private shed(work: ParsedRequest, reason: ShedReason): void {
    this.deps.recorder.recordDecision(work.id, {type: 'shed', reason});
  }

  /** Learns the answer length, or counts the tokens that preemption wasted. */
  private observeEnd(attempt: RunningAttempt, end: AttemptEnd): void {
    const {work} = attempt.entry;
    const tokens = attempt.answerTokens;
    if (end === AttemptEnd.Completed) {
      if (tokens > 0) this.answerLengths.observe(work, tokens);
      return;
    }
    if (!attempt.preempted) return;
    const name = work.serviceClass.name;
    this.deps.recorder.recordWastedTokens(WasteCause.Preempted, name, tokens);
  }

  private dispatcherFor(demand: Demand): RequestDispatcher {
    const name =
      demand.type === 'generation' ? 'generation' : `service/${demand.service}`;
    const dispatcher =
      this.dispatchers.get(name) ?? new RequestDispatcher(this.dispatcherDeps);
    this.dispatchers.set(name, dispatcher);
    return dispatcher;
  }

  private tick(): void {
    this.ticks++;
    if (this.ticks % TICKS_PER_FLEET_UPDATE === 0) this.updateFleet();
    this.dispatch();
  }

  /** Reports the load of this instance to its peers and applies changes. */
  private updateFleet(): void {
    let queued = 0;
    let running = 0;
    for (const dispatcher of this.dispatchers.values()) {
      queued += dispatcher.waitingCount;
      running += dispatcher.running.size;
    }
    this.deps.membership.updateStatus({queued, running});
    if (this.configuration !== undefined) this.applyFleet(this.configuration);
  }

  /**
   * Applies the configured zones and links and the live instances to link
   * budgets, topology and candidate upstreams.
   */
  private applyFleet(configuration: Configuration): void {
    const {membership, timer, zone} = this.deps;
    const live = membership.live();
    this.liveInstances = Math.max(1, live.length);
    this.linkBudgets.apply(configuration, this.liveInstances, timer.now());
    const names = live.map(member => `${member.name}@${member.zone}`).sort();
    const fingerprint = JSON.stringify([configuration.zones, names]);
    if (fingerprint === this.fleetFingerprint) return;
    this.fleetFingerprint = fingerprint;
    const topology = new Topology(zone, configuration);
    const located = live.map(member => ({
      name: member.name,
      zone: member.zone,
      region: topology.regionOf(member.zone),
    }));
    const name = membership.self().name;
    const self = {name, zone, region: topology.regionOf(zone)};
    const inRegion = located.filter(({region}) => region === self.region);
    this.regionInstances = Math.max(1, inRegion.length);
    this.selector.setTopology(topology);
    this.vicinities.apply({topology, self, instances: located});
  }
}
