import type {EvidenceLog} from '../../src/fleet/index.js';
import {
  HoldState,
  type CrashReport,
  type Evidence,
  type Hold,
} from '../../src/quarantine/index.js';
import type {Timer} from '../../src/timer/index.js';

/** Crashes after which a part that they share is held. */
const CRASHES = 2;

/**
 * Stands in for the decision on prompt parts: each instance holds a part that
 * was in two crashes as soon as it knows of both.
 */
export class SimulatedQuarantine implements EvidenceLog {
  /** When each part's newest decision became known, in monotonic ms. */
  readonly knownAt = new Map<string, number>();
  /** Number of crash reports and clearances that were news. */
  learned = 0;
  private readonly crashes = new Map<string, Set<string>>();
  private readonly decisions = new Map<string, Hold>();
  private readonly clearances = new Map<string, number>();
  private readonly listeners: Array<(evidence: Evidence) => void> = [];

  constructor(
    private readonly name: string,
    private readonly timer: Timer,
  ) {}

  learn(evidence: Evidence): boolean {
    switch (evidence.type) {
      case 'crash':
        return this.learnCrash(evidence);
      case 'clearance': {
        const known = this.clearances.get(evidence.part);
        // The time on the way makes one that is told back a little newer.
        if (known !== undefined && evidence.at - known < 1_000) return false;
        this.clearances.set(evidence.part, evidence.at);
        return true;
      }
      case 'hold':
        return this.decide(evidence);
    }
  }

  subscribe(listener: (evidence: Evidence) => void): void {
    this.listeners.push(listener);
  }

  holds(): Hold[] {
    return [...this.decisions.values()];
  }

  holdOf(part: string): Hold | undefined {
    return this.decisions.get(part);
  }

  /** Sees a crash with requests that have one part each. */
  crash(upstream: string, parts: readonly string[]): void {
    const suspects = parts.map((part, index) => ({
      request: `${upstream}-request-${index}`,
      parts: [part],
      openMs: 0,
    }));
    const at = this.timer.now();
    const report = {upstream, startedAt: 1, reporter: this.name, suspects, at};
    this.tell({type: 'crash', ...report});
  }

  /** Sees an answer to a request with the part. */
  clear(part: string): void {
    this.tell({type: 'clearance', part, at: this.timer.now()});
  }

  /** Decides as if there had been crashes, or releases. */
  set(part: string, state: HoldState): void {
    const revision = (this.holdOf(part)?.revision ?? 0) + 1;
    const decidedAt = this.timer.wallNow();
    const hold = {part, state, revision, crashes: CRASHES, decidedAt};
    this.tell({type: 'hold', ...hold});
  }

  private tell(evidence: Evidence): void {
    if (!this.learn(evidence)) return;
    for (const listener of this.listeners) listener(evidence);
  }

  private learnCrash({upstream, startedAt, suspects}: CrashReport): boolean {
    let isNews = false;
    for (const {parts} of suspects) {
      for (const part of parts) {
        const crashes = this.crashes.get(part) ?? new Set();
        this.crashes.set(part, crashes);
        if (!crashes.has(`${upstream}/${startedAt}`)) isNews = true;
        crashes.add(`${upstream}/${startedAt}`);
        if (crashes.size < CRASHES || this.decisions.has(part)) continue;
        this.set(part, HoldState.Held);
      }
    }
    if (isNews) this.learned++;
    return isNews;
  }

  private decide(hold: Hold): boolean {
    const known = this.decisions.get(hold.part);
    if (known !== undefined && known.revision >= hold.revision) return false;
    this.decisions.set(hold.part, hold);
    this.knownAt.set(hold.part, this.timer.now());
    return true;
  }
}
