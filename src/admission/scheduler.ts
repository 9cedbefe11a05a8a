import {err, type Result} from 'neverthrow';
import type {Configuration} from '../config/index.js';
import {LengthEstimates} from '../estimation/index.js';
import type {Membership} from '../instance/member.js';
import {
  AttemptEnd,
  Outcome,
  type Demand,
  type Ending,
  type Placement,
  type PlacementHistory,
  type Scheduler,
  type Work,
} from '../request/index.js';
import {ShedReason, WasteCause, type Recorder} from '../telemetry/index.js';
import type {Subscription, Timer} from '../timer/index.js';
import {Vicinities, type Directory, type Upstream} from '../upstream/index.js';
import {LinkBudgets, Topology} from '../zone/index.js';
import {Chooser} from './upstreamselector.js';
import {Contracts} from './requestlimiter.js';
import type {Entry} from './queueentry.js';
import {newEntry} from './createentry.js';
import {Line} from './requestdispatcher.js';
import {Pressure} from './shedding.js';
import type {Running} from './runningattempt.js';

const TICK_MS = 50;
/** Ticks between two looks at the fleet. */
const FLEET_TICKS = 10;

/** What an [[AdmissionScheduler]] needs of the rest of the instance. */
export interface SchedulerParts {
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
export interface AdmissionParts extends SchedulerParts {
  chooser: Chooser;
  vicinities: Vicinities;
  limits: Contracts;
  lengths: LengthEstimates;
  budgets: LinkBudgets;
  pressure: Pressure;
  floorShareOf(className: string): number;
  /** Lowest tier of any class. */
  lowestTier(): number;
  /** Takes in how an attempt ended. */
  learn(running: Running, end: AttemptEnd): void;
}

/**
 * Queues requests by tier, target and workspace, limits what runs at once,
 * sheds the least gain, and chooses upstreams by expected time.
 */
export class AdmissionScheduler implements Scheduler {
  private readonly lines = new Map<string, Line>();
  private readonly vicinities: Vicinities;
  private readonly budgets = new LinkBudgets();
  private readonly lengths = new LengthEstimates();
  private readonly limits: Contracts;
  private readonly parts: AdmissionParts;
  private readonly chooser: Chooser;
  private readonly floorShares = new Map<string, number>();
  private lowest = 0;
  private instances = 1;
  private neighbours = 1;
  private fleet = '';
  private configuration?: Configuration;
  private subscription?: Subscription;
  private ticks = 0;

  constructor(private readonly given: SchedulerParts) {
    const {directory, membership, timer, random} = given;
    this.vicinities = new Vicinities(directory);
    this.limits = new Contracts(() => this.instances);
    this.chooser = new Chooser({
      vicinities: this.vicinities,
      fleet: {all: () => this.instances, inRegion: () => this.neighbours},
      topology: new Topology(given.zone, {zones: [], links: []}),
      budgets: this.budgets,
      timer,
      random,
    });
    this.parts = {
      ...given,
      chooser: this.chooser,
      vicinities: this.vicinities,
      limits: this.limits,
      lengths: this.lengths,
      budgets: this.budgets,
      pressure: new Pressure(membership),
      floorShareOf: name => this.floorShares.get(name) ?? 0,
      lowestTier: () => this.lowest,
      learn: (running, end) => this.learn(running, end),
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
    this.drain();
  }

  /** Starts the work that time alone brings about. */
  start(): void {
    this.subscription = this.given.timer.every(TICK_MS, () => this.tick());
  }

  stop(): void {
    this.subscription?.end();
  }

  /** Starts waiting requests, such as after a load report. */
  drain(): void {
    for (const line of this.lines.values()) line.drain();
  }

  /** Upstreams whose reports this instance needs. */
  watched(): Set<Upstream> {
    return this.vicinities.members();
  }

  acquire(
    work: Work,
    history: PlacementHistory,
    signal: AbortSignal,
  ): Promise<Result<Placement, Ending>> {
    const line = this.lineOf(work.demand);
    return new Promise(resolve => {
      const entry = newEntry(this.parts, work, history, signal, resolve);
      const refusal = this.refusal(entry, line);
      if (refusal !== undefined) {
        resolve(err(refusal));
        return;
      }
      this.admit(entry, line);
    });
  }

  private admit(entry: Entry, line: Line): void {
    const {timer} = this.given;
    const cancel = () => line.end(entry, {type: 'cancelled'});
    const settle = entry.settle.bind(entry);
    const expiry = timer.after(entry.work.deadlineAt - timer.now(), () =>
      line.end(entry, {type: 'deadlineExceeded'}),
    );
    entry.settle = result => {
      expiry.end();
      entry.signal.removeEventListener('abort', cancel);
      settle(result);
    };
    entry.signal.addEventListener('abort', cancel, {once: true});
    line.add(entry);
  }

  /** Why a request is refused on arrival, if it is. */
  private refusal(entry: Entry, line: Line): Ending | undefined {
    const {work, history, signal} = entry;
    const outcome = Outcome.NotRun;
    if (signal.aborted) return {outcome, failure: {type: 'cancelled'}};
    const now = this.given.timer.now();
    if (now >= work.deadlineAt) {
      return {outcome, failure: {type: 'deadlineExceeded'}};
    }
    if (history.tried.size === 0) {
      const limited = this.limits.arrive(work, now);
      if (limited !== undefined) {
        this.shed(work, limited.reason);
        return {outcome, failure: limited.failure};
      }
    }
    if (this.chooser.served(entry)) return undefined;
    this.shed(work, ShedReason.NoUpstream);
    const retryAfterMs = line.retryAfterMs(work.serviceClass.tier);
    return {outcome, failure: {type: 'noUpstream', retryAfterMs}};
  }

  private shed(work: Work, reason: ShedReason): void {
    this.given.recorder.decide(work.id, {type: 'shed', reason});
  }

  private learn(running: Running, end: AttemptEnd): void {
    const {work} = running.entry;
    const tokens = running.answerTokens;
    if (end === AttemptEnd.Whole) {
      if (tokens > 0) this.lengths.observe(work, tokens);
      return;
    }
    if (!running.preempted) return;
    const name = work.serviceClass.name;
    this.given.recorder.waste(WasteCause.Preempted, name, tokens);
  }

  private lineOf(demand: Demand): Line {
    const name =
      demand.type === 'generation' ? 'generation' : `service/${demand.service}`;
    const line = this.lines.get(name) ?? new Line(this.parts);
    this.lines.set(name, line);
    return line;
  }

  private tick(): void {
    this.ticks++;
    if (this.ticks % FLEET_TICKS === 0) this.lookAtFleet();
    this.drain();
  }

  private lookAtFleet(): void {
    let queued = 0;
    let running = 0;
    for (const line of this.lines.values()) {
      queued += line.waiting;
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
    this.chooser.relocate(topology);
    this.vicinities.apply({topology, self, instances: located});
  }
}
