import type {Logger} from 'pino';
import type {CrashReport, Evidence, Hold} from '../quarantine/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import type {Subscription, Timer} from '../timer/index.js';
import type {EvidenceLog} from './evidencelog.js';
import {
  decodeEvidence,
  encodeEvidence,
  type WireEvidence,
} from './evidencemessage.js';
import {RelayQueue} from './relayqueue.js';

/** Most bytes of evidence in one message. */
const MAX_EVIDENCE_BYTES = 4_000;
/** Most bytes of one report; a crash with more suspects is told in several. */
const MAX_REPORT_BYTES = 1_000;
/** Most bytes of one item, which has to fit into a datagram. */
const MAX_ITEM_BYTES = 32_000;
/** Sends of an item, by each instance that tells or passes on. */
const MAX_SENDS = 6;
/** Crash reports and clearances that wait to be passed on. */
const MAX_QUEUED_ITEMS = 4_000;
/** Time for which a crash report or clearance is told again, in ms. */
const MAX_RETOLD_AGE_MS = 60_000;
/** Crash reports and clearances that are kept to be told again. */
const MAX_RETOLD_ITEMS = 1_000;
/** Time after which an instance or a zone counts as silent, in ms. */
const SILENCE_MS = 5_000;
/**
 * Times after which an instance tells what it found itself again, in ms, as a
 * shorter silence of a zone goes unnoticed.
 */
const REPEAT_DELAYS_MS = [1_500, 5_000];
/** Shortest time between two occasions to tell everything again, in ms. */
const RETELL_INTERVAL_MS = 2_000;
/** Instances of a zone that tell the other zones everything again, on average. */
const RETELLERS_PER_ZONE = 4;

/** Evidence for a message. */
export interface ToldEvidence {
  items: WireEvidence[];
  /** Whether the other zones have to know it as soon as the own one. */
  isUrgent: boolean;
}

interface Item {
  evidence: Evidence;
  isUrgent: boolean;
}

/** Dependencies of an [[EvidenceRelay]]. */
export interface EvidenceRelayParts {
  log: EvidenceLog;
  timer: Timer;
  logger: Logger;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Number of instances of the own zone, this one included. */
  zoneSize(): number;
  /** Called when there is something to tell. */
  added(): void;
}

/**
 * Tells the other instances of crashes and prompt parts, and passes on what they
 * tell. Each item is sent a few times in different messages, decisions first,
 * so that a lost message doesn't matter. Everything is told again to a
 * peer or zone that is heard for the first time or after a silence.
 */
export class EvidenceRelay {
  private readonly holds = new RelayQueue<Item>(MAX_SENDS, Infinity, sizeOf);
  private readonly others = new RelayQueue<Item>(
    MAX_SENDS,
    MAX_QUEUED_ITEMS,
    sizeOf,
  );
  /** What may be told again, oldest first. */
  private readonly recent = new Map<string, Exclude<Evidence, Hold>>();
  /** When data of each instance or zone were last received. */
  private readonly heardAt = new Map<string, number>();
  private readonly repeats = new Set<Subscription>();
  private retoldAt = -Infinity;
  private hasLoggedMalformed = false;

  constructor(private readonly parts: EvidenceRelayParts) {
    parts.log.subscribe(evidence => {
      this.add(evidence, true);
      for (const delayMs of REPEAT_DELAYS_MS) this.repeat(evidence, delayMs);
    });
  }

  /** Whether there is something to tell. */
  get isPending(): boolean {
    return this.holds.size + this.others.size > 0;
  }

  /** Evidence for a message to `copies` peers. */
  take(copies: number): ToldEvidence {
    const items = this.holds.take(MAX_EVIDENCE_BYTES, copies);
    const bytes = items.reduce((sum, item) => sum + sizeOf(item), 0);
    if (bytes < MAX_EVIDENCE_BYTES) {
      items.push(...this.others.take(MAX_EVIDENCE_BYTES - bytes, copies));
    }
    const now = this.parts.timer.now();
    return {
      items: items.map(({evidence}) => encodeEvidence(evidence, now)),
      isUrgent: items.some(({isUrgent}) => isUrgent),
    };
  }

  /** Takes the evidence in a message. */
  receive(items: readonly unknown[]): void {
    const now = this.parts.timer.now();
    for (const item of items) {
      const evidence = decodeEvidence(item, now);
      if (evidence === undefined) this.logMalformed(item);
      else if (this.parts.log.learn(evidence)) this.add(evidence, false);
    }
  }

  /**
   * Notes that data of an instance or a zone were received, and tells everything
   * again if it was not heard for a while.
   */
  noteHeard(origin: string): void {
    const now = this.parts.timer.now();
    const at = this.heardAt.get(origin) ?? -Infinity;
    this.heardAt.set(origin, now);
    if (now - at > SILENCE_MS) this.retell();
  }

  /** Ends the repetitions. */
  end(): void {
    for (const subscription of this.repeats) subscription.end();
    this.repeats.clear();
  }

  private repeat(evidence: Evidence, delayMs: number): void {
    const subscription = this.parts.timer.after(delayMs, () => {
      this.repeats.delete(subscription);
      if (this.isCurrent(evidence)) this.add(evidence, true);
    });
    this.repeats.add(subscription);
  }

  /** Whether nothing newer has replaced the evidence. */
  private isCurrent(evidence: Evidence): boolean {
    switch (evidence.type) {
      case 'crash':
        return true;
      case 'clearance': {
        const newest = this.recent.get(keyOf(evidence));
        return newest === undefined || newest.at <= evidence.at;
      }
      case 'hold':
        return this.parts.log
          .holds()
          .some(
            ({part, revision}) =>
              part === evidence.part && revision === evidence.revision,
          );
    }
  }

  private retell(): void {
    const {log, timer, random} = this.parts;
    const now = timer.now();
    for (const [key, {at}] of this.recent) {
      if (now - at > MAX_RETOLD_AGE_MS) this.recent.delete(key);
    }
    const evidence = [...log.holds(), ...this.recent.values()];
    if (evidence.length === 0) return;
    if (now - this.retoldAt < RETELL_INTERVAL_MS) return;
    this.retoldAt = now;
    const isUrgent = random() < RETELLERS_PER_ZONE / this.parts.zoneSize();
    for (const item of evidence) this.queue({evidence: item, isUrgent});
    this.parts.added();
  }

  private add(evidence: Evidence, isUrgent: boolean): void {
    for (const item of split(evidence)) this.queue({evidence: item, isUrgent});
    this.parts.added();
  }

  private queue(item: Item): void {
    const {evidence} = item;
    const key = keyOf(evidence);
    if (sizeOf(item) > MAX_ITEM_BYTES) {
      this.parts.logger.warn(
        {event: LogEvent.Peer, type: evidence.type, bytes: sizeOf(item)},
        'Evidence of a crashing prompt part is too large to be told.',
      );
      return;
    }
    if (evidence.type === 'hold') {
      this.holds.add(key, item);
      return;
    }
    this.others.add(key, item);
    this.recent.delete(key);
    this.recent.set(key, evidence);
    if (this.recent.size <= MAX_RETOLD_ITEMS) return;
    const [oldest] = this.recent.keys();
    if (oldest !== undefined) this.recent.delete(oldest);
  }

  private logMalformed(item: unknown): void {
    if (this.hasLoggedMalformed) return;
    this.hasLoggedMalformed = true;
    this.parts.logger.warn(
      {event: LogEvent.Peer, item: JSON.stringify(item).slice(0, 200)},
      'Ignored malformed evidence; further such items are not logged.',
    );
  }
}

function keyOf(evidence: Evidence): string {
  switch (evidence.type) {
    case 'crash': {
      const {upstream, startedAt, reporter, suspects} = evidence;
      const first = suspects[0]?.request ?? '';
      return JSON.stringify([upstream, startedAt, reporter, first]);
    }
    case 'clearance':
    case 'hold':
      return `${evidence.type} ${evidence.part}`;
  }
}

function sizeOf({evidence}: Pick<Item, 'evidence'>): number {
  const now = evidence.type === 'hold' ? 0 : evidence.at;
  return JSON.stringify(encodeEvidence(evidence, now)).length;
}

/** Splits a report of many suspects into several of a limited size. */
function split(evidence: Evidence): Evidence[] {
  if (evidence.type !== 'crash') return [evidence];
  const reports: CrashReport[] = [];
  let report: CrashReport = {...evidence, suspects: []};
  for (const suspect of evidence.suspects) {
    const longer = {...report, suspects: [...report.suspects, suspect]};
    const fits = sizeOf({evidence: longer}) <= MAX_REPORT_BYTES;
    if (!fits && report.suspects.length > 0) {
      reports.push(report);
      report = {...evidence, suspects: [suspect]};
    } else {
      report = longer;
    }
  }
  return [...reports, report];
}
