import type {Subscription, Timer} from '../timer/index.js';
import {blame, type Blame, type PartKnowledge} from './blame.js';
import type {SuspectPart} from './candidate.js';
import {CrashLog} from './crashlog.js';
import {
  HoldState,
  type Clearance,
  type CrashReport,
  type Evidence,
  type Hold,
} from './evidence.js';
import {HoldRegister} from './holdregister.js';
import {rationedOf, Turns} from './ration.js';
import {SoundParts} from './soundparts.js';
import {Trials} from './trials.js';

/** Time in which answers that peers saw may arrive, in ms. */
const SETTLE_MS = 500;

/** The same for an instance that started lately, in ms. */
const STARTUP_SETTLE_MS = 2000;

/** Time from the start in which an instance knows too little, in ms. */
const STARTUP_MS = 5000;

/** Shortest time between two clearances of a part, in ms. */
const CLEARANCE_PERIOD_MS = 500;

/** Time between two decisions, in ms. */
const REVIEW_PERIOD_MS = 250;

/**
 * Pause after a decision, in multiples of its duration: with many crashes, one
 * may take tens of ms, in which no request is served.
 */
const PAUSE_PER_DECISION = 20;

/** Longest such pause, in ms; the process may stand still in a decision. */
const MAX_PAUSE_MS = 2000;

/** Time after the newest crash in which decisions are made, in ms. */
const REVIEW_MS = 60_000;

const NO_BLAME: Blame = {convicted: [], suspected: [], rationed: new Map()};

/** What a [[Quarantine]] works with. */
export interface QuarantineOptions {
  timer: Timer;
  /**
   * Whether this instance tries the part for the whole fleet; without it, holds
   * last until an operator ends them.
   */
  ownsTrial?: (part: string) => boolean;
  /**
   * Whether it is the turn of this instance to forward a request with a part
   * under suspicion; without it, it always is.
   */
  ownsTurn?: (turn: number) => boolean;
  /** Number of upstreams that requests go to; without it, 0. */
  upstreamCount?: () => number;
}

/**
 * Decides which prompt parts crash upstreams. It has no input or output: it is
 * told of answers and crashes, and of evidence from peers, and tells its
 * listeners of evidence that it makes.
 *
 * Lists of parts are those of a request in prompt order. Their last part, which
 * belongs to the request or its session alone, is left out of account.
 */
export class Quarantine {
  private readonly timer: Timer;
  private readonly startedAt: number;
  private readonly log = new CrashLog();
  private readonly sound = new SoundParts();
  private readonly register = new HoldRegister();
  private readonly trials = new Trials();
  private readonly ownsTrial: (part: string) => boolean;
  private readonly turns: Turns;
  private readonly knowledge: PartKnowledge;
  /** When each part was released, in monotonic ms. */
  private readonly releases = new Map<string, number>();
  /** When each part of a suspect was cleared last, in monotonic ms. */
  private readonly clearedAt = new Map<string, number>();
  private readonly listeners = new Set<(evidence: Evidence) => void>();
  private answers = 0;
  /** When a crash was learned last, in monotonic ms. */
  private newsAt = -Infinity;
  /** When the pause after the last decision ends, in monotonic ms. */
  private pausedUntil = -Infinity;
  private review: Subscription | undefined;
  private blameNow: Blame | undefined;

  constructor({
    timer,
    ownsTrial = () => false,
    ownsTurn = () => true,
    upstreamCount = () => 0,
  }: QuarantineOptions) {
    this.timer = timer;
    this.ownsTrial = ownsTrial;
    this.turns = new Turns(ownsTurn);
    this.knowledge = {
      answeredAt: part => this.sound.answeredAt(part),
      releasedAt: part => this.releases.get(part),
      isHeld: part => this.register.isHeld(part),
      upstreamCount,
    };
    this.startedAt = timer.now();
  }

  /** Calls `listener` with each piece of evidence that this instance makes. */
  subscribe(listener: (evidence: Evidence) => void): Subscription {
    this.listeners.add(listener);
    return {end: () => this.listeners.delete(listener)};
  }

  /**
   * Records an own request whose answer had a complete event or ended whole.
   */
  recordAnswer(parts: readonly string[]): void {
    // A whole number takes no memory of its own.
    const now = Math.round(this.timer.now());
    this.answers++;
    for (let index = 0; index < parts.length - 1; index++) {
      const part = parts[index];
      if (part === undefined) continue;
      this.sound.record(part, now);
      if (this.register.isHeld(part)) this.acquit(part);
      if (!this.sound.isSuspected(part)) continue;
      this.exonerate(part);
      this.publishClearance(part);
    }
  }

  /** Records a crash that this instance saw; returns whether it is news. */
  recordCrash(report: CrashReport): boolean {
    if (!this.addCrash(report)) return false;
    this.publish(report);
    this.clearKnown(report);
    this.renewTried(report);
    return true;
  }

  /**
   * Takes over evidence of a peer or the store, in any order. Returns whether
   * it is news, that is, to be passed on.
   */
  learn(evidence: Evidence): boolean {
    switch (evidence.type) {
      case 'crash': {
        const isNews = this.addCrash(evidence);
        if (isNews) this.clearKnown(evidence);
        return isNews;
      }
      case 'clearance':
        return this.addClearance(evidence);
      case 'hold':
        return this.addHold(evidence);
    }
  }

  /** The hold that refuses a request with these parts, if any. */
  holdOf(parts: readonly string[]): Hold | undefined {
    return this.register.find(parts);
  }

  /** Whether a request with these parts may be sent again after a crash. */
  mayRepeat(parts: readonly string[]): boolean {
    if (this.holdOf(parts) !== undefined) return false;
    const {convicted, suspected} = this.blame();
    const shared = parts.slice(0, -1);
    return ![...convicted, ...suspected].some(({part}) =>
      shared.includes(part),
    );
  }

  /**
   * Parts of a request that were answered before and are under suspicion now.
   * Requests with such a part are forwarded one at a time, by instances in turn.
   */
  rationed(parts: readonly string[]): string[] {
    const shared = parts.slice(0, -1);
    return rationedOf(this.blame().rationed, shared, this.timer.now());
  }

  /** Whether this instance may forward a request with these parts now. */
  hasTurn(parts: readonly string[]): boolean {
    return this.turns.isFree(this.rationed(parts), this.timer.wallNow());
  }

  /** Notes that a request with these parts was forwarded. */
  takeTurn(parts: readonly string[]): void {
    this.turns.take(this.rationed(parts), this.timer.wallNow());
  }

  /** Whether this instance may try the part with one request. */
  trialDue(part: string): boolean {
    const hold = this.register.get(part);
    if (hold?.state !== HoldState.Held || !this.ownsTrial(part)) return false;
    return this.trials.isDue(hold, this.timer.now());
  }

  /**
   * Begins a trial of the held parts of a request. If this returns true, the
   * request is forwarded once; its answer ends the holds, its crash renews them.
   */
  beginTrial(parts: readonly string[]): boolean {
    const held = parts.slice(0, -1).filter(part => this.register.isHeld(part));
    if (held.length === 0) return false;
    if (!held.every(part => this.trialDue(part))) return false;
    for (const part of held) this.trials.begin(part, this.timer.now());
    return true;
  }

  /** All decisions in force, also those that released a part. */
  holds(): Hold[] {
    return this.register.list();
  }

  /** Parts whose requests aren't repeated but not refused yet. */
  suspects(): SuspectPart[] {
    const {convicted, suspected} = this.blame();
    return [...convicted, ...suspected];
  }

  /** Refuses requests with the part, by order of an operator. */
  hold(part: string): Hold {
    return this.decideOn(part, HoldState.Held, 0);
  }

  /** Forwards requests with the part again, by order of an operator. */
  release(part: string): Hold {
    return this.decideOn(part, HoldState.Released, 0);
  }

  /** Holds the parts that explain the crashes known long enough. */
  decide(): Hold[] {
    const now = this.timer.now();
    const isStarting = now - this.startedAt < STARTUP_MS;
    const settleMs = isStarting ? STARTUP_SETTLE_MS : SETTLE_MS;
    const crashes = this.log.crashes();
    const settled = crashes.filter(crash => crash.learnedAt <= now - settleMs);
    const {convicted} = blame(settled, this.knowledge, this.answers);
    if (convicted.length === 0) return [];
    // Later crashes tell apart parts that came together so far.
    this.blameNow = undefined;
    const confirmed = new Set(
      this.blame().convicted.map(suspect => suspect.part),
    );
    return convicted
      .filter(({part}) => confirmed.has(part))
      .map(({part, crashes}) => this.decideOn(part, HoldState.Held, crashes));
  }

  /** Ends the decisions that are due. */
  stop(): void {
    this.review?.end();
    this.review = undefined;
  }

  private blame(): Blame {
    this.blameNow ??=
      this.review === undefined
        ? NO_BLAME
        : blame(this.log.crashes(), this.knowledge, this.answers);
    return this.blameNow;
  }

  private addCrash(report: CrashReport): boolean {
    const isNews = this.log.add(report, this.timer.now(), this.answers);
    if (!isNews) return false;
    this.blameNow = undefined;
    this.newsAt = this.timer.now();
    this.sound.suspect(this.log.parts());
    this.review ??= this.timer.every(REVIEW_PERIOD_MS, () => {
      this.reviewCrashes();
    });
    return true;
  }

  private reviewCrashes(): void {
    if (this.log.prune(this.timer.now())) {
      const parts = this.log.parts();
      this.sound.suspect(parts);
      for (const part of this.clearedAt.keys()) {
        if (!parts.has(part)) this.clearedAt.delete(part);
      }
      if (parts.size === 0) this.stop();
      this.blameNow = undefined;
    }
    const beganAt = this.timer.now();
    if (beganAt - this.newsAt > REVIEW_MS || beganAt < this.pausedUntil) return;
    this.decide();
    const endedAt = this.timer.now();
    const pauseMs = (endedAt - beganAt) * PAUSE_PER_DECISION;
    this.pausedUntil = endedAt + Math.min(pauseMs, MAX_PAUSE_MS);
  }

  private addClearance({part, at}: Clearance): boolean {
    const known = this.sound.answeredAt(part);
    if (known !== undefined && known >= at) return false;
    this.sound.record(part, at);
    this.exonerate(part);
    if (!this.sound.isSuspected(part)) return known === undefined;
    const clearedAt = this.clearedAt.get(part);
    this.clearedAt.set(part, Math.max(clearedAt ?? -Infinity, at));
    return clearedAt === undefined || at - clearedAt >= CLEARANCE_PERIOD_MS;
  }

  private addHold(hold: Hold): boolean {
    if (!this.register.merge(hold)) return false;
    this.blameNow = undefined;
    switch (hold.state) {
      case HoldState.Held:
        this.releases.delete(hold.part);
        this.trials.add(hold.part, this.timer.now());
        break;
      case HoldState.Released:
        this.trials.remove(hold.part);
        this.releases.set(hold.part, this.timer.now());
        break;
    }
    return true;
  }

  private decideOn(part: string, state: HoldState, crashes: number): Hold {
    const hold: Hold = {
      type: 'hold',
      part,
      state,
      revision: (this.register.get(part)?.revision ?? 0) + 1,
      crashes,
      decidedAt: this.timer.wallNow(),
    };
    this.addHold(hold);
    this.publish(hold);
    return hold;
  }

  /** Lets the parts under suspicion be found anew if this is one. */
  private exonerate(part: string): void {
    if (this.blameNow === undefined) return;
    const {convicted, suspected, rationed} = this.blameNow;
    const isBlamed =
      rationed.has(part) ||
      [...convicted, ...suspected].some(suspect => suspect.part === part);
    if (isBlamed) this.blameNow = undefined;
  }

  /** Releases a held part that was answered. */
  private acquit(part: string): void {
    const hold = this.register.get(part);
    if (hold === undefined || hold.crashes === 0) return;
    // A request from before the first hold shows that the hold was wrong.
    if (hold.revision > 1 && !this.trials.isRunning(part)) return;
    this.decideOn(part, HoldState.Released, hold.crashes);
  }

  /** Holds parts further whose trial ended in a crash. */
  private renewTried(report: CrashReport): void {
    const parts = new Set(report.suspects.flatMap(suspect => suspect.parts));
    for (const part of parts) {
      const hold = this.register.get(part);
      if (hold === undefined || !this.trials.isRunning(part)) continue;
      this.decideOn(part, HoldState.Held, hold.crashes + 1);
    }
  }

  private clearKnown(report: CrashReport): void {
    for (const {parts} of report.suspects) {
      for (const part of parts) this.publishClearance(part);
    }
  }

  /** Tells peers of the last answer to a part of a suspect. */
  private publishClearance(part: string): void {
    const at = this.sound.answeredAt(part);
    if (at === undefined) return;
    const clearedAt = this.clearedAt.get(part);
    if (clearedAt !== undefined && at - clearedAt < CLEARANCE_PERIOD_MS) return;
    this.clearedAt.set(part, at);
    this.publish({type: 'clearance', part, at});
  }

  private publish(evidence: Evidence): void {
    for (const listener of this.listeners) listener(evidence);
  }
}
