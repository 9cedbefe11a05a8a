import {
  HoldState,
  Quarantine,
  type CrashReport,
  type Evidence,
  type Hold,
} from '../../src/quarantine/index.js';
import type {Timer} from '../../src/timer/index.js';

/** What the model needs of a way to decide which parts are bad. */
export interface Policy {
  subscribe(listener: (evidence: Evidence) => void): void;
  recordAnswer(parts: readonly string[]): void;
  recordCrash(report: CrashReport): void;
  learn(evidence: Evidence): void;
  holdOf(parts: readonly string[]): Hold | undefined;
  mayRepeat(parts: readonly string[]): boolean;
  /** See [[Quarantine.rationed]]. */
  rationed(parts: readonly string[]): string[];
  /** See [[Quarantine.hasTurn]]. */
  hasTurn(parts: readonly string[]): boolean;
  /** See [[Quarantine.takeTurn]]. */
  takeTurn(parts: readonly string[]): void;
  held(): string[];
}

/** Holds a part with three crashes, since its last answer if told so. */
class Counting implements Policy {
  private readonly crashes = new Map<string, Set<string>>();
  private readonly holds = new Map<string, Hold>();
  private readonly listeners: Array<(evidence: Evidence) => void> = [];

  constructor(private readonly countsAnswers: boolean) {}

  subscribe(listener: (evidence: Evidence) => void): void {
    this.listeners.push(listener);
  }

  recordAnswer(parts: readonly string[]): void {
    if (!this.countsAnswers) return;
    for (const part of parts) {
      if (!this.crashes.delete(part)) continue;
      this.publish({type: 'clearance', part, at: 0});
    }
  }

  recordCrash(report: CrashReport): void {
    this.learn(report);
    this.publish(report);
  }

  learn(evidence: Evidence): void {
    switch (evidence.type) {
      case 'crash': {
        const process = `${evidence.upstream}/${evidence.startedAt}`;
        const parts = evidence.suspects.flatMap(suspect => suspect.parts);
        for (const part of parts) this.count(part, process);
        break;
      }
      case 'clearance':
        this.crashes.delete(evidence.part);
        break;
      case 'hold':
        this.holds.set(evidence.part, evidence);
        break;
    }
  }

  holdOf(parts: readonly string[]): Hold | undefined {
    const held = parts.find(part => this.holds.has(part));
    return held === undefined ? undefined : this.holds.get(held);
  }

  mayRepeat(parts: readonly string[]): boolean {
    return parts.every(part => (this.crashes.get(part)?.size ?? 0) < 2);
  }

  rationed(): string[] {
    return [];
  }

  hasTurn(): boolean {
    return true;
  }

  takeTurn(): void {
    // Nothing is rationed.
  }

  held(): string[] {
    return [...this.holds.keys()];
  }

  private count(part: string, process: string): void {
    const processes = this.crashes.get(part) ?? new Set();
    this.crashes.set(part, processes.add(process));
    if (processes.size < 3 || this.holds.has(part)) return;
    const hold: Hold = {
      type: 'hold',
      part,
      state: HoldState.Held,
      revision: 1,
      crashes: processes.size,
      decidedAt: 0,
    };
    this.holds.set(part, hold);
    this.publish(hold);
  }

  private publish(evidence: Evidence): void {
    for (const listener of this.listeners) listener(evidence);
  }
}

class Explaining extends Quarantine implements Policy {
  held(): string[] {
    return this.holds()
      .filter(hold => hold.state === HoldState.Held)
      .map(hold => hold.part);
  }
}

/** Ways to decide that are compared. */
export enum Way {
  Counting = 'counting',
  CountingSinceAnswer = 'counting since the last answer',
  Quarantine = 'quarantine',
}

/** Creates the policy of one instance of a fleet, by its index. */
export function createPolicy(
  way: Way,
  timer: Timer,
  instance: number,
  instances: number,
  upstreams: number,
): Policy {
  switch (way) {
    case Way.Counting:
      return new Counting(false);
    case Way.CountingSinceAnswer:
      return new Counting(true);
    case Way.Quarantine:
      return new Explaining({
        timer,
        ownsTurn: turn => turn % instances === instance,
        upstreamCount: () => upstreams,
      });
  }
}
