import type {Logger} from 'pino';
import xxhash from 'xxhash-wasm';
import type {KeyedRecord, Topic} from '../registry/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import {parseAddress, type InstanceAddress} from './message.js';

const hasher = await xxhash();

/**
 * Fleets with at most this many other instances exchange messages directly;
 * in larger ones, instances pass on what they hear.
 */
const MAX_DIRECT_PEERS = 12;

/** The other instances, from the addresses that they publish. */
export class Peers {
  private readonly addresses = new Map<string, InstanceAddress>();
  private namesByZone = new Map<string, string[]>();
  /** Own rank by topic, until the instances change. */
  private readonly ranks = new Map<string, number>();

  constructor(
    private readonly name: string,
    private readonly zone: string,
    private readonly logger: Logger,
    /** Returns a random number in [0, 1). */
    private readonly random: () => number,
  ) {}

  /** Number of other instances. */
  get size(): number {
    return this.addresses.size;
  }

  /** Whether every message goes to every peer. */
  get areDirect(): boolean {
    return this.size <= MAX_DIRECT_PEERS;
  }

  /**
   * Updates the addresses from the records that instances publish. Returns those
   * that changed something.
   */
  update(records: KeyedRecord[]): KeyedRecord[] {
    const changes = records.filter(record => this.apply(record));
    if (changes.length > 0) this.index();
    return changes;
  }

  /** The addresses as records. */
  known(): KeyedRecord[] {
    return [...this.addresses].map(([key, address]) => ({
      key,
      offset: 0,
      value: Buffer.from(JSON.stringify(address)),
    }));
  }

  addressOf(name: string): InstanceAddress | undefined {
    return this.addresses.get(name);
  }

  /** Addresses of all other instances. */
  all(): Iterable<InstanceAddress> {
    return this.addresses.values();
  }

  /** Number of instances of the own zone, this one included. */
  get zoneSize(): number {
    return 1 + (this.namesByZone.get(this.zone)?.length ?? 0);
  }

  /** Names of the other instances of a zone. */
  namesIn(zone: string): readonly string[] {
    return this.namesByZone.get(zone) ?? [];
  }

  /** Zones of the other instances, without the own one. */
  otherZones(): string[] {
    return [...this.namesByZone.keys()].filter(zone => zone !== this.zone);
  }

  /**
   * Up to `count` peers of the own zone: the next one in the order of names, and
   * random others. Each instance is the next of one other, so hardly any hears
   * nothing when all pass something on, as some would of random peers alone.
   */
  mates(count: number): InstanceAddress[] {
    const names = this.namesByZone.get(this.zone) ?? [];
    const next = names.find(name => name > this.name) ?? names[0];
    const others = names.filter(name => name !== next);
    const chosen = next === undefined ? [] : [next];
    return this.addressesOf([...chosen, ...this.pick(others, count - 1)]);
  }

  /** Up to `count` random peers of a zone, by default of the own one. */
  sample(count: number, zone = this.zone): InstanceAddress[] {
    return this.addressesOf(
      this.pick([...(this.namesByZone.get(zone) ?? [])], count),
    );
  }

  /**
   * Rank of an instance in the order in which a topic is read, from 0. By
   * rendezvous hashing, so that all instances agree without talk.
   */
  rankOf(topic: Topic, name: string): number {
    const key = `${topic}/${name}`;
    const known = this.ranks.get(key);
    if (known !== undefined) return known;
    const score = hasher.h32(key);
    let rank = 0;
    for (const other of [this.name, ...this.addresses.keys()]) {
      if (other !== name && hasher.h32(`${topic}/${other}`) > score) rank++;
    }
    this.ranks.set(key, rank);
    return rank;
  }

  /** Removes up to `count` random names and returns them. */
  private pick(names: string[], count: number): string[] {
    const chosen: string[] = [];
    while (chosen.length < count && names.length > 0) {
      const index = Math.floor(this.random() * names.length);
      chosen.push(...names.splice(index, 1));
    }
    return chosen;
  }

  private addressesOf(names: readonly string[]): InstanceAddress[] {
    return names.flatMap(name => this.addresses.get(name) ?? []);
  }

  /** Returns whether the record changed something. */
  private apply({key, value, offset}: KeyedRecord): boolean {
    const address = value === undefined ? undefined : parseAddress(value);
    const known = this.addresses.get(key);
    // The own record changes nothing here, but peers have to learn of it.
    if (key === this.name) return true;
    if (isSameAddress(address, known)) return false;
    if (address === undefined) this.addresses.delete(key);
    else this.addresses.set(key, address);
    this.logger.info(
      {event: LogEvent.Peer, instance: key, offset, address},
      address === undefined
        ? 'Another instance no longer has a usable address.'
        : 'Another instance announced itself.',
    );
    return true;
  }

  private index(): void {
    this.ranks.clear();
    this.namesByZone = new Map();
    for (const [name, {zone = ''}] of this.addresses) {
      const names = this.namesByZone.get(zone) ?? [];
      names.push(name);
      this.namesByZone.set(zone, names);
    }
    for (const names of this.namesByZone.values()) names.sort();
  }
}

function isSameAddress(
  a: InstanceAddress | undefined,
  b: InstanceAddress | undefined,
): boolean {
  return a?.host === b?.host && a?.port === b?.port && a?.zone === b?.zone;
}
