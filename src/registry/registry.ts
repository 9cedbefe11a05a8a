import {LogEvent} from '../telemetry/event.js';
import type {Logger} from 'pino';
import type {Timer} from '../timer/index.js';
import {EntryState, isSameStart, supersedes, type Entry} from './entry.js';
import type {KeyedRecord} from './feed.js';

/**
 * Time for which an entry that lapsed around an outage of the store is still
 * used, in ms; upstreams that live have registered again by then.
 */
const LAPSE_GRACE_MS = 2_000;
/** Time for which the store must have answered for a removal to count, in ms. */
const STEADY_MS = 4_000;

/** An entry and what is believed of it. */
export interface Registration {
  entry: Entry;
  /** When the entry lapsed, in monotonic ms; undefined while it stands. */
  lapsedAt?: number;
}

/** What a [[Registry]] needs of the rest of the instance. */
export interface RegistryParts {
  /** Decodes a record; the reason if it names no upstream. */
  decode(key: string, value: Buffer): Entry | {reason: string};
  timer: Timer;
  logger: Logger;
  /** Ms for which the store has answered without a failure. */
  steadyMs(): number;
  /** Called after every change. */
  changed(): void;
}

/** The upstreams that are registered at the platform's store. */
export class Registry {
  private readonly known = new Map<string, Registration>();

  constructor(private readonly parts: RegistryParts) {}

  /** Entries that may be used, in no order. */
  *usable(): Generator<Entry> {
    for (const {entry} of this.known.values()) yield entry;
  }

  /** Every key there is: what is missing has lapsed. */
  replace(records: KeyedRecord[]): void {
    const present = new Set(records.map(({key}) => key));
    for (const key of this.known.keys()) {
      if (!present.has(key)) this.lapse(key, 'missing from the snapshot');
    }
    this.add(records);
  }

  /** Takes in records in the order of the log. */
  add(records: KeyedRecord[]): void {
    for (const {key, value, offset} of records) {
      if (value === undefined) this.lapse(key, 'removed');
      else this.take(key, value, offset);
    }
    this.parts.changed();
  }

  /** Drops entries whose grace has passed. */
  sweep(): void {
    const now = this.parts.timer.now();
    let dropped = false;
    for (const [key, {lapsedAt}] of this.known) {
      if (lapsedAt === undefined || now - lapsedAt < LAPSE_GRACE_MS) continue;
      this.drop(key, 'did not return after an outage of the store');
      dropped = true;
    }
    if (dropped) this.parts.changed();
  }

  private take(key: string, value: Buffer, offset: number): void {
    const {logger} = this.parts;
    const next = this.parts.decode(key, value);
    if ('reason' in next) {
      logger.warn(
        {event: LogEvent.Upstream, upstream: key, offset, reason: next.reason},
        'Ignored an unusable entry.',
      );
      return;
    }
    const known = this.known.get(key);
    if (known !== undefined && !supersedes(next, known.entry)) {
      logger.info(
        {event: LogEvent.Upstream, upstream: key, offset},
        'Ignored an entry that is outdated.',
      );
      return;
    }
    this.known.set(key, {entry: next});
    if (known === undefined || !isSameStart(known.entry, next)) {
      logger.info(
        {event: LogEvent.Upstream, upstream: key, offset, entry: next},
        'Upstream is listed.',
      );
    } else if (known.entry.state !== next.state) {
      logger.info(
        {event: LogEvent.Upstream, upstream: key, offset, state: next.state},
        next.state === EntryState.Draining
          ? 'Upstream is leaving and gets no new work.'
          : 'Upstream takes work again.',
      );
    }
  }

  private lapse(key: string, reason: string): void {
    const {timer, logger} = this.parts;
    const known = this.known.get(key);
    if (known === undefined || known.lapsedAt !== undefined) return;
    const steady = this.parts.steadyMs();
    if (steady >= STEADY_MS || known.entry.state === EntryState.Draining) {
      this.drop(key, reason);
      return;
    }
    known.lapsedAt = timer.now();
    logger.warn(
      {event: LogEvent.Upstream, upstream: key, reason, steadyMs: steady},
      'Entry lapsed around an outage of the store; keeping it for a while.',
    );
  }

  private drop(key: string, reason: string): void {
    this.known.delete(key);
    this.parts.logger.info(
      {event: LogEvent.Upstream, upstream: key, reason},
      'Upstream is gone.',
    );
  }
}
