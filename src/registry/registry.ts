import {LogEvent} from '../telemetry/logevent.js';
import type {Logger} from 'pino';
import type {Timer} from '../timer/index.js';
import {
  EntryState,
  hasSameEffect,
  isSameProcess,
  supersedes,
  type RegistryEntry,
} from './entry.js';
import type {KeyedRecord} from './feed.js';

/**
 * Time for which an entry that goes missing soon after a store outage is still
 * used, in ms. Upstreams that are alive register again within it.
 */
const MISSING_GRACE_MS = 2_000;
/**
 * Time for which the store must have been reachable for a missing entry to be
 * removed at once, in ms.
 */
const MIN_REACHABLE_MS = 4_000;

/** An entry, and since when it has been missing. */
export interface Registration {
  entry: RegistryEntry;
  /** When the entry went missing, in monotonic ms; undefined if present. */
  missingSince?: number;
}

/** Dependencies of [[Registry]]. */
export interface RegistryParts {
  /** Decodes a record; returns `reason` if it is not a valid entry. */
  decode(key: string, value: Buffer): RegistryEntry | {reason: string};
  timer: Timer;
  logger: Logger;
  /** Ms since the store became reachable; 0 while it isn't. */
  reachableForMs(): number;
  /** Called after records were applied or entries were dropped. */
  changed(): void;
}

/** The upstreams that are registered in the platform's store. */
export class Registry {
  /** By key of the entry. */
  private readonly registrations = new Map<string, Registration>();

  constructor(private readonly parts: RegistryParts) {}

  /** Entries that may be used, including missing ones in their grace period. */
  *usable(): Generator<RegistryEntry> {
    for (const {entry} of this.registrations.values()) yield entry;
  }

  /**
   * Applies a snapshot. Known entries that it lacks are missing. Returns what
   * changed, with a record without value for each missing entry.
   */
  replace(records: KeyedRecord[]): KeyedRecord[] {
    const present = new Set(records.map(({key}) => key));
    const missing = [...this.registrations.keys()].filter(
      key => !present.has(key),
    );
    for (const key of missing) this.handleMissing(key, 'not in the snapshot');
    const changes = records.filter(record => this.apply(record));
    this.parts.changed();
    return [...missing.map(key => ({key, offset: 0})), ...changes];
  }

  /**
   * Applies new records, in the order of the topic. Returns those that changed
   * more than the sequence and the warm-up time of an entry.
   */
  add(records: KeyedRecord[]): KeyedRecord[] {
    const changes = records.filter(record => this.apply(record));
    if (changes.length > 0) this.parts.changed();
    return changes;
  }

  /** Drops missing entries whose grace period is over. */
  sweep(): void {
    const now = this.parts.timer.now();
    let dropped = false;
    for (const [key, {missingSince: since}] of this.registrations) {
      if (since === undefined || now - since < MISSING_GRACE_MS) continue;
      this.drop(key, 'not registered again after an outage of the store');
      dropped = true;
    }
    if (dropped) this.parts.changed();
  }

  /** Returns whether the record changed something. */
  private apply({key, value, offset}: KeyedRecord): boolean {
    return value === undefined
      ? this.handleMissing(key, 'removed')
      : this.update(key, value, offset);
  }

  private update(key: string, value: Buffer, offset: number): boolean {
    const {logger} = this.parts;
    const next = this.parts.decode(key, value);
    if ('reason' in next) {
      logger.warn(
        {event: LogEvent.Upstream, upstream: key, offset, reason: next.reason},
        'Ignored an invalid registry entry.',
      );
      return false;
    }
    const known = this.registrations.get(key);
    if (known !== undefined && !supersedes(next, known.entry)) {
      logger.info(
        {event: LogEvent.Upstream, upstream: key, offset},
        'Ignored an outdated registry entry.',
      );
      return false;
    }
    this.registrations.set(key, {entry: next});
    if (known === undefined || !isSameProcess(known.entry, next)) {
      logger.info(
        {event: LogEvent.Upstream, upstream: key, offset, entry: next},
        'Upstream is registered.',
      );
    } else if (known.entry.state !== next.state) {
      const {state} = next;
      if (state === EntryState.Draining) {
        logger.info(
          {event: LogEvent.Leaving, upstream: key, source: 'store', offset},
          'Upstream is draining and gets no new requests.',
        );
      } else {
        logger.info(
          {event: LogEvent.Upstream, upstream: key, offset, state},
          'Upstream accepts requests again.',
        );
      }
    }
    return (
      known === undefined ||
      known.missingSince !== undefined ||
      !hasSameEffect(known.entry, next)
    );
  }

  /**
   * Drops an entry that was removed or is missing from a snapshot. If the store
   * became reachable only recently, the entry may be missing due to the outage
   * and is kept for a grace period, unless its upstream was draining. Returns
   * whether the entry was known.
   */
  private handleMissing(key: string, reason: string): boolean {
    const {timer, logger} = this.parts;
    const known = this.registrations.get(key);
    if (known === undefined) return false;
    // Peers may have dropped the entry, so that the removal concerns them.
    if (known.missingSince !== undefined) return true;
    const reachableForMs = this.parts.reachableForMs();
    if (
      reachableForMs >= MIN_REACHABLE_MS ||
      known.entry.state === EntryState.Draining
    ) {
      this.drop(key, reason);
      return true;
    }
    known.missingSince = timer.now();
    logger.warn(
      {
        event: LogEvent.Upstream,
        upstream: key,
        reason,
        steadyMs: reachableForMs,
      },
      'Entry is missing after an outage of the store; keeping it for now.',
    );
    return true;
  }

  private drop(key: string, reason: string): void {
    this.registrations.delete(key);
    this.parts.logger.info(
      {event: LogEvent.Upstream, upstream: key, reason},
      'Upstream was removed from the registry.',
    );
  }
}
