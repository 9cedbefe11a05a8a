import {
  EntryState,
  Topic,
  type RegistryEntry,
} from '../../src/registry/index.js';
import type {LostRecord} from '../../stand-ins/keyedlog.js';
import type {Timer} from '../../src/timer/index.js';
import type {SimulatedStore} from './simulatedstore.js';

/** Key of the configuration in its topic. */
export const CONFIGURATION_KEY = 'config';
/** Versions for which an API key is valid, from the one that adds it on. */
const KEY_VERSIONS = 2;

/** Sizes of what the writers write. */
export interface WriterSpec {
  upstreams: number;
  /** Size of a configuration, in bytes. */
  configurationBytes: number;
}

/** A configuration, padded to its size. */
export interface SimulatedConfiguration {
  version: number;
  /** API keys that are valid with it. */
  keys: string[];
}

interface UpstreamState {
  state: EntryState;
  sequence: number;
  /** Start of the process, in Unix ms; undefined for the first. */
  startedAt?: number;
  isRunning: boolean;
  /** Since when the store has listed the running process, in ms. */
  listedSince?: number;
}

/**
 * Time after its return in which the store lacks entries that have lapsed, in
 * ms. Those that are missing then count as gone.
 */
const REGISTRATION_MS = 2_000;
/** Time in which instances learn of an entry, also by slow answers, in ms. */
export const LEARNING_MS = 1_900;

/**
 * The operator and the upstreams: what they mean the store to hold, which is
 * what it holds once they have written everything again.
 */
export class SimulatedWriters {
  private newestVersion = 0;
  /** When the store last returned from a copy, in ms. */
  private returnedAt = -Infinity;
  private readonly upstreams: UpstreamState[];
  /** Versions that the store doesn't hold. */
  private readonly unwrittenVersions = new Set<number>();
  /** Upstreams whose last change the store doesn't hold. */
  private readonly unwrittenUpstreams = new Set<number>();

  constructor(
    private readonly store: SimulatedStore,
    private readonly timer: Timer,
    private readonly zones: readonly string[],
    private readonly spec: WriterSpec,
  ) {
    this.upstreams = Array.from({length: spec.upstreams}, () => ({
      state: EntryState.Ready,
      sequence: 0,
      isRunning: true,
    }));
  }

  /** The newest version that was published. */
  get version(): number {
    return this.newestVersion;
  }

  /** What each running upstream means its entry to be. */
  entries(): RegistryEntry[] {
    return this.upstreams.flatMap(({isRunning}, index) =>
      isRunning ? [this.entryOf(index)] : [],
    );
  }

  /** The entry of a running upstream, by its id. */
  runningEntry(id: string): RegistryEntry | undefined {
    const index = indexOf(id);
    const isRunning = this.upstreams[index]?.isRunning === true;
    return isRunning ? this.entryOf(index) : undefined;
  }

  /**
   * Whether an instance may take an upstream for gone: the store returned long
   * enough ago, and lists the running process only since a short time.
   */
  mayBeMissed(id: string): boolean {
    const now = this.timer.now();
    const {listedSince = now} = this.upstreams[indexOf(id)] ?? {};
    return (
      !this.store.isAway &&
      now - this.returnedAt >= REGISTRATION_MS &&
      now - listedSince < LEARNING_MS
    );
  }

  /** Publishes the next version; returns it. */
  publish(): number {
    const version = ++this.newestVersion;
    this.writeVersion(version);
    return version;
  }

  /** Writes the entry of an upstream again, if it is running. */
  beat(index: number): void {
    if (this.upstreams[index]?.isRunning === true) this.writeEntry(index);
  }

  /** Changes a running upstream between ready and draining. */
  toggle(index: number): RegistryEntry | undefined {
    const upstream = this.upstreams[index];
    if (upstream?.isRunning !== true) return undefined;
    upstream.state =
      upstream.state === EntryState.Ready
        ? EntryState.Draining
        : EntryState.Ready;
    this.writeEntry(index);
    return this.entryOf(index);
  }

  /** Ends an upstream, whose entry is removed. */
  end(index: number): void {
    const upstream = this.upstreams[index];
    if (upstream?.isRunning !== true) return;
    upstream.isRunning = false;
    this.writeEntry(index);
  }

  /** Starts an upstream anew, under the id that it had. */
  restart(index: number): void {
    const upstream = this.upstreams[index];
    if (upstream === undefined) return;
    const startedAt = Math.max(
      this.timer.wallNow(),
      (upstream.startedAt ?? 0) + 1,
    );
    const state = EntryState.Ready;
    delete upstream.listedSince;
    Object.assign(upstream, {state, sequence: 0, startedAt, isRunning: true});
    this.writeEntry(index);
  }

  /** Takes note of what the store has lost when it returned. */
  noteReturn(lost: ReadonlyArray<LostRecord<Topic>>): void {
    this.returnedAt = this.timer.now();
    for (const record of lost) this.noteLost(record);
    const listed = new Set(
      this.store
        .newest(Topic.Upstreams)
        .map(({key, value = Buffer.alloc(0)}) =>
          processOf(decodeEntry(key, value)),
        ),
    );
    for (const [index, upstream] of this.upstreams.entries()) {
      if (!listed.has(processOf(this.entryOf(index)))) {
        delete upstream.listedSince;
      }
    }
  }

  private noteLost({topic, key, value}: LostRecord<Topic>): void {
    if (topic === Topic.Upstreams) {
      this.unwrittenUpstreams.add(indexOf(key));
    } else if (topic === Topic.Configuration && value !== undefined) {
      this.unwrittenVersions.add(decodeConfiguration(value).version);
    }
  }

  /** Removes an entry that has lapsed, though its upstream may be running. */
  lapse(id: string): void {
    this.store.append(Topic.Upstreams, id, undefined);
    this.unwrittenUpstreams.add(indexOf(id));
    delete this.upstreams[indexOf(id)]?.listedSince;
  }

  /** Upstreams whose last change the store doesn't hold. */
  get unwritten(): number[] {
    return [...this.unwrittenUpstreams];
  }

  /** Writes again what the store lacks of an upstream. */
  writeAgain(index: number): void {
    if (this.unwrittenUpstreams.has(index)) this.writeEntry(index);
  }

  /** Publishes again the versions that the store lacks, or only the newest. */
  publishAgain(isWhole: boolean): void {
    const versions = [...this.unwrittenVersions].sort((a, b) => a - b);
    const lacksNewest = versions.at(-1) === this.newestVersion;
    this.unwrittenVersions.clear();
    if (!lacksNewest) return;
    for (const version of isWhole ? versions : versions.slice(-1)) {
      this.writeVersion(version);
    }
  }

  private writeVersion(version: number): void {
    if (this.store.isAway) {
      this.unwrittenVersions.add(version);
      return;
    }
    const value = encodeConfiguration(version, this.spec.configurationBytes);
    this.store.append(Topic.Configuration, CONFIGURATION_KEY, value);
  }

  private writeEntry(index: number): void {
    const upstream = this.upstreams[index];
    if (upstream === undefined) return;
    upstream.sequence++;
    if (this.store.isAway) {
      this.unwrittenUpstreams.add(index);
      return;
    }
    this.unwrittenUpstreams.delete(index);
    if (upstream.isRunning) upstream.listedSince ??= this.timer.now();
    else delete upstream.listedSince;
    const value = upstream.isRunning
      ? Buffer.from(JSON.stringify(this.entryOf(index)))
      : undefined;
    this.store.append(Topic.Upstreams, `i-${index}`, value);
  }

  private entryOf(index: number): RegistryEntry {
    const upstream = this.upstreams[index];
    return {
      id: `i-${index}`,
      service: 's',
      host: 'h',
      port: index,
      zone: this.zones[index % this.zones.length] ?? '',
      softwareVersion: 'v1',
      slots: 16,
      state: upstream?.state ?? EntryState.Ready,
      coldMs: 0,
      ...(upstream?.startedAt === undefined
        ? {}
        : {startedAt: upstream.startedAt}),
      sequence: upstream?.sequence ?? 0,
    };
  }
}

/** Decodes the entry of a simulated upstream. */
export function decodeEntry(_key: string, value: Buffer): RegistryEntry {
  return JSON.parse(value.toString()) as RegistryEntry;
}

function processOf({id, startedAt = 0}: RegistryEntry): string {
  return `${id}/${startedAt}`;
}

function indexOf(id: string): number {
  return Number(id.slice('i-'.length));
}

/** Name of the API key that a version adds. */
function keyOf(version: number): string {
  return `key-${version}`;
}

function encodeConfiguration(version: number, bytes: number): Buffer {
  const value = Buffer.alloc(bytes);
  value.writeUInt32BE(version, 0);
  return value;
}

/** Decodes a configuration that [[SimulatedWriters]] has published. */
export function decodeConfiguration(value: Buffer): SimulatedConfiguration {
  const version = value.readUInt32BE(0);
  const keys = Array.from({length: KEY_VERSIONS}, (_, n) => keyOf(version - n));
  return {version, keys};
}
