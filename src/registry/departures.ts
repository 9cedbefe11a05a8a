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

/** Most memory for all departures that aren't withheld, in bytes. */
const MAX_BYTES = 8 * 1024 * 1024;
/** Memory of a departure beside the texts of its entry, in bytes. */
const OVERHEAD_BYTES = 512;

/** An entry that was removed or stayed missing, and since when. */
interface Departure {
  entry: RegistryEntry;
  /**
   * Whether the store removed it. Otherwise the store lost it and nobody wrote
   * it again in time, so that its process may yet be running.
   */
  isRemoved: boolean;
  /** When it was dropped, or last withheld, in monotonic ms. */
  at: number;
  /** What an older copy of the store says of the process. */
  withheld?: KnownRecord;
}

/**
 * The upstreams that have left, to recognize them in an older copy of the store
 * that still lists them.
 */
export class Departures {
  /** By key, the last to depart last. */
  private readonly departures = new Map<string, Departure>();
  private bytes = 0;

  constructor(
    private readonly timer: Timer,
    private readonly maxBytes = MAX_BYTES,
  ) {}

  /**
   * Remembers an entry that was removed, or that the store lost. Forgets the
   * first ones where all take too much memory.
   */
  add(key: string, entry: RegistryEntry, isRemoved = true): void {
    this.delete(key);
    this.departures.set(key, {entry, isRemoved, at: this.timer.now()});
    this.bytes += memoryOf(entry);
    if (this.bytes <= this.maxBytes) return;
    for (const [first, {withheld}] of this.departures) {
      // The store lists what is withheld, so that there is a bound on it.
      if (withheld === undefined) this.delete(first);
      if (this.bytes <= this.maxBytes) return;
    }
  }

  /** Forgets a departure, as the upstream is registered again. */
  delete(key: string): void {
    const known = this.departures.get(key);
    if (known === undefined) return;
    this.departures.delete(key);
    this.bytes -= memoryOf(known.entry);
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

  /** Whether an entry is of a process that has left, as far as known. */
  includes(key: string, entry: RegistryEntry): boolean {
    const departure = this.departures.get(key);
    if (departure === undefined || !hasEndedWith(entry, departure.entry)) {
      return false;
    }
    // A process of which a later entry is known may have registered again.
    return departure.isRemoved || supersedes(departure.entry, entry);
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

  /**
   * Records that are withheld. Those of upstreams that the store removed are
   * marked; peers may know better of one whose entry the store lost.
   */
  records(): KnownRecord[] {
    return [...this.departures.values()].flatMap(({withheld, isRemoved}) => {
      if (withheld === undefined) return [];
      return [isRemoved ? {...withheld, standing: Standing.Left} : withheld];
    });
  }

  /** Forgets what has expired. Returns the records no longer withheld. */
  sweep(): KnownRecord[] {
    const now = this.timer.now();
    const released: KnownRecord[] = [];
    for (const [key, {at, withheld}] of this.departures) {
      const limitMs = withheld === undefined ? REMEMBERED_MS : WITHHELD_MS;
      if (now - at < limitMs) continue;
      this.delete(key);
      if (withheld !== undefined) released.push(withheld);
    }
    return released;
  }
}

function memoryOf({id, service, zone, softwareVersion}: RegistryEntry): number {
  const texts = [id, service, zone, softwareVersion];
  return texts.reduce((sum, {length}) => sum + length, OVERHEAD_BYTES);
}
