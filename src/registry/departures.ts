import type {Timer} from '../timer/index.js';
import {hasEndedWith, supersedes, type RegistryEntry} from './entry.js';
import {Standing, type KnownRecord} from './topicstatus.js';

/**
 * Time for which a removed entry is remembered, in ms: above the age of a copy
 * from which the store may return, with the time that it was away.
 */
const REMEMBERED_MS = 60_000;
/**
 * Time for which an entry of a departed upstream in an older copy isn't used, in
 * ms. The upstream, if it lives after all, registers again within two seconds;
 * the store removes an entry that nobody renews after three heartbeats.
 */
const WITHHELD_MS = 10_000;

/** An entry that was removed, and since when. */
interface Departure {
  entry: RegistryEntry;
  /** When it was removed, or last withheld, in monotonic ms. */
  at: number;
  /** What an older copy of the store says of the process. */
  withheld?: KnownRecord;
}

/**
 * The upstreams that have left, to recognize them in an older copy of the store
 * that still lists them.
 */
export class Departures {
  private readonly departures = new Map<string, Departure>();

  constructor(private readonly timer: Timer) {}

  /** Remembers an entry that was removed. */
  add(key: string, entry: RegistryEntry): void {
    this.departures.set(key, {entry, at: this.timer.now()});
  }

  /** Forgets a departure, as the upstream is registered again. */
  delete(key: string): void {
    this.departures.delete(key);
  }

  /** Withholds a record of a process that left before. Returns whether it did. */
  withhold(record: KnownRecord, entry: RegistryEntry): boolean {
    const departure = this.departures.get(record.key);
    if (departure === undefined || !this.includes(record.key, entry)) {
      return false;
    }
    departure.withheld = record;
    departure.at = this.timer.now();
    return true;
  }

  /** Takes note that the store has removed an entry as well. */
  confirm(key: string): void {
    delete this.departures.get(key)?.withheld;
  }

  /** Takes note of the keys that the store has. */
  confirmAllBut(keys: ReadonlySet<string>): void {
    for (const key of this.departures.keys()) {
      if (!keys.has(key)) this.confirm(key);
    }
  }

  /** Whether the process is known to have left. */
  includes(key: string, entry: RegistryEntry): boolean {
    const departure = this.departures.get(key);
    return departure !== undefined && hasEndedWith(entry, departure.entry);
  }

  /** Whether a record repeats what the process wrote before it left. */
  repeats(key: string, entry: RegistryEntry): boolean {
    const departure = this.departures.get(key);
    return (
      departure?.withheld !== undefined &&
      this.includes(key, entry) &&
      (entry.sequence === departure.entry.sequence ||
        !supersedes(entry, departure.entry))
    );
  }

  /** Records that are withheld, marked as those of upstreams that have left. */
  records(): KnownRecord[] {
    return [...this.departures.values()].flatMap(({withheld}) =>
      withheld === undefined ? [] : [{...withheld, standing: Standing.Left}],
    );
  }

  /** Forgets what has expired. Returns the records no longer withheld. */
  sweep(): KnownRecord[] {
    const now = this.timer.now();
    const released: KnownRecord[] = [];
    for (const [key, {at, withheld}] of this.departures) {
      const limitMs = withheld === undefined ? REMEMBERED_MS : WITHHELD_MS;
      if (now - at < limitMs) continue;
      this.departures.delete(key);
      if (withheld !== undefined) released.push(withheld);
    }
    return released;
  }
}
