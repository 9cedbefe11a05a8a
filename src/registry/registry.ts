import {LogEvent} from '../telemetry/logevent.js';
import type {Logger} from 'pino';
import type {Timer} from '../timer/index.js';
import {Departures} from './departures.js';
import {
  EntryState,
  hasSameEffect,
  isSameProcess,
  supersedes,
  type RegistryEntry,
} from './entry.js';
import type {KeyedRecord} from './feed.js';
import {Standing, type KnownRecord} from './topicstatus.js';

/**
 * Time for which an entry that goes missing soon after a store outage is still
 * used, in ms. Upstreams that are alive register again within it.
 */
const MISSING_GRACE_MS = 2_000;
/**
 * The same for entries that a snapshot lacks which tells that the store has
 * returned: their upstreams have to register within two seconds of the return,
 * and what they write is read up to half a second later.
 */
const RETURN_GRACE_MS = 2_500;
/**
 * Time for which the store must have been reachable for a missing entry to be
 * removed at once, in ms: by then, entries that lapsed while it was away are back.
 */
const MIN_REACHABLE_MS = 3_000;

/** For how long missing entries are still used. */
interface Grace {
  ms: number;
  /** Whether the store has just returned. */
  isAfterReturn: boolean;
}

/** Why an entry is missing, and how long it is used. */
interface Absence {
  /** In monotonic ms. */
  until: number;
  /** Whether the store removed it, rather than lost it. */
  isRemoved: boolean;
}

/** An entry that may be used. */
export interface Registration {
  entry: RegistryEntry;
  /** The record of the entry. */
  record: KeyedRecord;
  /** Set while the entry is missing in the store. */
  absence?: Absence;
}

/** Dependencies of [[Registry]]. */
export interface RegistryParts {
  /** Decodes a record; returns `reason` if it is not a valid entry. */
  decode(key: string, value: Buffer): RegistryEntry | {reason: string};
  timer: Timer;
  logger: Logger;
  /** Ms since the store became reachable; 0 while it isn't. */
  reachableForMs(): number;
  /**
   * At a snapshot after the store's return: ms since it is known to serve again.
   * Else 0.
   */
  servedForMs(): number;
  /** Called after records were applied or entries were dropped. */
  changed(): void;
}

/** The upstreams that are registered in the platform's store. */
export class Registry {
  /** By key of the entry. */
  private readonly registrations = new Map<string, Registration>();
  private readonly departures: Departures;

  constructor(private readonly parts: RegistryParts) {
    this.departures = new Departures(parts.timer);
  }

  /** Entries that may be used, including missing ones in their grace period. */
  *usable(): Generator<RegistryEntry> {
    for (const {entry} of this.registrations.values()) yield entry;
  }

  /** What another instance needs to know the same. */
  known(): KnownRecord[] {
    const now = this.parts.timer.now();
    const entries = [...this.registrations.values()].map(
      ({record, absence}): KnownRecord => {
        if (absence === undefined) return record;
        const graceMs = Math.max(0, Math.round(absence.until - now));
        return {...record, standing: Standing.Missing, graceMs};
      },
    );
    return [...entries, ...this.departures.records()];
  }

  /**
   * Applies a snapshot. Known entries that it lacks are missing. One that may be
   * `outdated` doesn't bring back upstreams that have left. Returns what changed,
   * with a record without value for each missing entry.
   */
  replace(records: KnownRecord[], outdated = false): KeyedRecord[] {
    const present = new Set(
      records
        .filter(({standing}) => standing === undefined)
        .map(({key}) => key),
    );
    const missing = [...this.registrations.keys()].filter(
      key => !present.has(key),
    );
    const grace = this.graceOfSnapshot();
    for (const key of missing) {
      this.handleMissing(key, 'not in the snapshot', grace, outdated);
    }
    this.departures.confirmAllBut(present);
    const changes = records.filter(
      record => !(outdated && this.isWithheld(record)) && this.apply(record),
    );
    this.parts.changed();
    return [...missing.map(key => ({key, offset: 0})), ...changes];
  }

  /**
   * Applies new records, in the order of the topic. Returns those that changed
   * more than the sequence and the warm-up time of an entry.
   */
  add(records: KnownRecord[]): KeyedRecord[] {
    const changes = records.filter(record => this.apply(record));
    if (changes.length > 0) this.parts.changed();
    return changes;
  }

  /**
   * Drops missing entries whose grace period is over, and uses those again that
   * an older copy of the store lists and nobody has removed since.
   */
  sweep(): void {
    const now = this.parts.timer.now();
    const released = this.departures.sweep();
    let dropped = released.filter(record => this.apply(record)).length > 0;
    for (const [key, {absence}] of this.registrations) {
      if (absence === undefined || now < absence.until) continue;
      // Nobody can register while the store is away.
      if (this.parts.reachableForMs() === 0) continue;
      this.drop(key, 'not registered again after an outage of the store');
      dropped = true;
    }
    if (dropped) this.parts.changed();
  }

  /** Grace period of the entries that a snapshot lacks. */
  private graceOfSnapshot(): Grace {
    if (this.parts.reachableForMs() > 0) {
      return {ms: MISSING_GRACE_MS, isAfterReturn: false};
    }
    const leftMs = RETURN_GRACE_MS - this.parts.servedForMs();
    return {ms: Math.max(0, leftMs), isAfterReturn: true};
  }

  /** Returns whether the record changed something. */
  private apply(record: KnownRecord): boolean {
    const {key, value} = record;
    if (value !== undefined) return this.update(record, value);
    this.handleMissing(key, 'removed');
    // Peers may use an entry that isn't known here, or have dropped one that is.
    return true;
  }

  /** Withholds a record of an older copy whose upstream is known to have left. */
  private isWithheld(record: KnownRecord): boolean {
    const {key, value, offset, standing} = record;
    if (value === undefined || standing !== undefined) return false;
    if (this.registrations.has(key)) return false;
    const entry = this.parts.decode(key, value);
    if ('reason' in entry) return false;
    if (!this.departures.withhold(record, entry)) return false;
    this.parts.logger.info(
      {event: LogEvent.Upstream, upstream: key, offset, entry},
      'An older copy of the store lists an upstream that left; not using it.',
    );
    return true;
  }

  private update(record: KnownRecord, value: Buffer): boolean {
    const {key, offset} = record;
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
    switch (record.standing) {
      case Standing.Missing:
        return this.addMissing(record, next);
      case Standing.Left:
        return this.depart(record, next);
      case undefined:
        break;
    }
    const isOutdated =
      known === undefined
        ? this.departures.repeats(key, next)
        : !supersedes(next, known.entry);
    if (isOutdated) {
      logger.info(
        {event: LogEvent.Upstream, upstream: key, offset},
        'Ignored an outdated registry entry.',
      );
      if (known?.absence === undefined || !isSameProcess(known.entry, next)) {
        return false;
      }
      // The store has the upstream, if only by an older entry. Peers may miss it.
      delete known.absence;
      return true;
    }
    this.registrations.set(key, {entry: next, record});
    this.departures.delete(key);
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
      known.absence !== undefined ||
      !hasSameEffect(known.entry, next)
    );
  }

  /**
   * Drops an entry that was removed or is missing from a snapshot. If the store
   * became reachable only recently, the entry may be missing due to the outage
   * and is kept for a grace period, unless its upstream was draining.
   */
  private handleMissing(
    key: string,
    reason: string,
    grace: Grace = {ms: MISSING_GRACE_MS, isAfterReturn: false},
    isLost = false,
  ): void {
    const {timer, logger} = this.parts;
    const known = this.registrations.get(key);
    if (known === undefined) {
      this.departures.confirm(key);
      return;
    }
    const {absence} = known;
    const until = timer.now() + grace.ms;
    if (absence !== undefined) {
      // Each return of the store gives its upstream the time to register.
      if (grace.isAfterReturn) absence.until = until;
      if (!isLost) absence.isRemoved = true;
      return;
    }
    const reachableForMs = this.parts.reachableForMs();
    if (reachableForMs >= MIN_REACHABLE_MS) {
      this.drop(key, reason);
      return;
    }
    if (known.entry.state === EntryState.Draining) {
      this.drop(key, reason, !isLost);
      return;
    }
    const leftMs = MIN_REACHABLE_MS - reachableForMs;
    known.absence = {
      until: grace.isAfterReturn
        ? until
        : Math.min(until, timer.now() + leftMs),
      isRemoved: !isLost,
    };
    logger.warn(
      {
        event: LogEvent.Upstream,
        upstream: key,
        reason,
        steadyMs: reachableForMs,
      },
      'Entry is missing after an outage of the store; keeping it for now.',
    );
  }

  /** Adds an entry that a peer uses although the store lacks it. */
  private addMissing(record: KnownRecord, entry: RegistryEntry): boolean {
    const {key, offset, value, graceMs = 0} = record;
    const until = this.parts.timer.now() + Math.min(graceMs, RETURN_GRACE_MS);
    const known = this.registrations.get(key);
    if (known !== undefined) {
      const {absence} = known;
      if (absence !== undefined) absence.until = Math.max(absence.until, until);
      return false;
    }
    if (this.departures.includes(key, entry)) return false;
    const absence = {until, isRemoved: false};
    this.registrations.set(key, {entry, record: {key, offset, value}, absence});
    return true;
  }

  /** Drops the entry of a process of which a peer knows that it has left. */
  private depart(record: KnownRecord, entry: RegistryEntry): boolean {
    const {key, offset, value} = record;
    const known = this.registrations.get(key)?.entry;
    if (known !== undefined) {
      if (!isSameProcess(known, entry)) return false;
      this.drop(key, 'a peer knows that it has left');
    }
    this.departures.add(key, known ?? entry);
    this.departures.withhold({key, offset, value}, entry);
    return known !== undefined;
  }

  private drop(key: string, reason: string, isRemoved?: boolean): void {
    const known = this.registrations.get(key);
    if (known !== undefined) {
      // That the store lost an entry doesn't tell that its upstream has left.
      const {entry, absence} = known;
      this.departures.add(key, entry, isRemoved ?? absence?.isRemoved);
    }
    this.registrations.delete(key);
    this.parts.logger.info(
      {event: LogEvent.Upstream, upstream: key, reason},
      'Upstream was removed from the registry.',
    );
  }
}
