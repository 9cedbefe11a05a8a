import type {Subscription} from '../timer/index.js';
import type {SuspectPart} from './candidate.js';
import type {CrashReport, Evidence, Hold} from './evidence.js';
import {Quarantine, type QuarantineOptions} from './quarantine.js';
import {hasPromptParts, RequestKind} from './requestid.js';

/** What [[Quarantines]] work with. */
export interface QuarantinesOptions extends Omit<
  QuarantineOptions,
  'upstreamCount'
> {
  /** Number of upstreams that requests of a kind go to; without it, 0. */
  upstreamCount?: (kind: RequestKind) => number;
}

/**
 * A [[Quarantine]] for prompts and one for requests to plain services. Answers of
 * the ones say nothing of whether upstreams of the others live.
 */
export class Quarantines {
  private readonly prompts: Quarantine;
  private readonly plain: Quarantine;

  constructor({upstreamCount = () => 0, ...options}: QuarantinesOptions) {
    const open = (kind: RequestKind) =>
      new Quarantine({...options, upstreamCount: () => upstreamCount(kind)});
    this.prompts = open(RequestKind.Prompt);
    this.plain = open(RequestKind.Plain);
  }

  /** See [[Quarantine.subscribe]]. */
  subscribe(listener: (evidence: Evidence) => void): Subscription {
    const subscriptions = this.all().map(one => one.subscribe(listener));
    return {end: () => subscriptions.forEach(one => one.end())};
  }

  /** See [[Quarantine.recordAnswer]]. */
  recordAnswer(parts: readonly string[]): void {
    this.of(parts).recordAnswer(parts);
  }

  /** See [[Quarantine.recordCrash]]. */
  recordCrash(report: CrashReport): boolean {
    return this.of(partsOf(report)).recordCrash(report);
  }

  /** See [[Quarantine.learn]]. */
  learn(evidence: Evidence): boolean {
    return this.of(partsOf(evidence)).learn(evidence);
  }

  /** See [[Quarantine.holdOf]]. */
  holdOf(parts: readonly string[]): Hold | undefined {
    return this.of(parts).holdOf(parts);
  }

  /** See [[Quarantine.mayRepeat]]. */
  mayRepeat(parts: readonly string[]): boolean {
    return this.of(parts).mayRepeat(parts);
  }

  /** See [[Quarantine.rationed]]. */
  rationed(parts: readonly string[]): string[] {
    return this.of(parts).rationed(parts);
  }

  /** See [[Quarantine.hasTurn]]. */
  hasTurn(parts: readonly string[]): boolean {
    return this.of(parts).hasTurn(parts);
  }

  /** See [[Quarantine.takeTurn]]. */
  takeTurn(parts: readonly string[]): void {
    this.of(parts).takeTurn(parts);
  }

  /** See [[Quarantine.beginTrial]]. */
  beginTrial(parts: readonly string[]): boolean {
    return this.of(parts).beginTrial(parts);
  }

  /** See [[Quarantine.holds]]. */
  holds(): Hold[] {
    return this.all().flatMap(one => one.holds());
  }

  /** See [[Quarantine.suspects]]. */
  suspects(): SuspectPart[] {
    return this.all().flatMap(one => one.suspects());
  }

  /** See [[Quarantine.stop]]. */
  stop(): void {
    for (const one of this.all()) one.stop();
  }

  private all(): Quarantine[] {
    return [this.prompts, this.plain];
  }

  private of(parts: readonly string[]): Quarantine {
    return hasPromptParts(parts) ? this.prompts : this.plain;
  }
}

/** The parts that evidence is about. */
function partsOf(evidence: Evidence): readonly string[] {
  switch (evidence.type) {
    case 'crash':
      return evidence.suspects.flatMap(({parts}) => parts);
    case 'clearance':
    case 'hold':
      return [evidence.part];
  }
}
