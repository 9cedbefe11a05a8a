import type {Logger} from 'pino';
import xxhash from 'xxhash-wasm';
import {z} from 'zod';
import {TurnWriter, type TurnWriterParts} from '../fleet/index.js';
import {
  Topic,
  type Feed,
  type KeyedRecord,
  type StoreEpoch,
} from '../registry/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import type {Subscription} from '../timer/index.js';
import type {SoftwareVersions} from './softwareversions.js';

const hasher = await xxhash();

/** Starts the keys of these records in the topic of the instances. */
const KEY_PREFIX = 'softwareVersions/';
/** How often the records are compared with the versions that left, in ms. */
const CHECK_PERIOD_MS = 5_000;
/**
 * Age of a record from which versions are removed that this instance doesn't
 * know, in ms; before, it may not have read of them.
 */
const REMOVAL_AGE_MS = 30_000;
/**
 * Time after the topic was read before a record is written that may lack
 * versions, in ms: it must not replace one that another instance completes.
 */
const PARTIAL_DELAY_MS = 3_000;
const MAX_VERSIONS = 64;
const MAX_NAME_LENGTH = 256;

const recordSchema = z.object({
  service: z.string().max(MAX_NAME_LENGTH),
  softwareVersions: z
    .array(z.string().max(MAX_NAME_LENGTH))
    .min(1)
    .max(MAX_VERSIONS),
  /**
   * Whether its writer knew that no other version can have begun streams. Records
   * of earlier builds don't tell.
   */
  complete: z.boolean().default(false),
});

/** The software versions of a service that may have begun streams. */
type VersionRecord = z.output<typeof recordSchema>;

/** Dependencies of [[VersionRecords]]. */
export interface VersionRecordsParts extends Omit<
  TurnWriterParts,
  'isMissing' | 'write'
> {
  versions: SoftwareVersions;
  feed: Pick<Feed, 'put'>;
  epochs: StoreEpoch;
  logger: Logger;
}

/** A record of the store, and when this instance read it, in monotonic ms. */
interface StoredRecord extends VersionRecord {
  readAt: number;
}

/** Whether a record of the topic of the instances names software versions. */
export function isVersionRecord({key}: KeyedRecord): boolean {
  return key.startsWith(KEY_PREFIX);
}

/**
 * Keeps the software versions that may have begun streams in the store, beside
 * the addresses of the instances, so that they outlive all instances at once. An
 * instance that has just started would take the versions that it sees for all
 * there were.
 */
export class VersionRecords {
  private readonly stored = new Map<string, StoredRecord>();
  private readonly writer: TurnWriter;
  /** When the topic was first read, in monotonic ms. */
  private readAt = Infinity;
  /** Keys of invalid records that were logged. */
  private readonly invalid = new Set<string>();

  constructor(private readonly parts: VersionRecordsParts) {
    this.writer = new TurnWriter({
      ...parts,
      isMissing: () => this.missing().length > 0,
      write: () => this.writeMissing(),
    });
  }

  /** Compares the records with the versions from time to time. */
  start(): Subscription {
    const checks = this.parts.timer.every(CHECK_PERIOD_MS, () => this.check());
    return {
      end: () => {
        checks.end();
        this.writer.end();
      },
    };
  }

  /** Applies new records; returns those that changed something. */
  add(records: KeyedRecord[]): KeyedRecord[] {
    const changes = records.filter(record => this.apply(record));
    this.tellVersions();
    return changes;
  }

  /** Applies all records of the topic; returns those that changed something. */
  replace(records: KeyedRecord[]): KeyedRecord[] {
    this.readAt = Math.min(this.readAt, this.parts.timer.now());
    const keys = new Set(records.map(({key}) => key));
    for (const key of this.stored.keys()) {
      if (!keys.has(key)) this.stored.delete(key);
    }
    const changes = this.add(records);
    this.check();
    return changes;
  }

  /** The records of the store. */
  known(): KeyedRecord[] {
    return [...this.stored].map(([key, record]) => ({
      key,
      offset: 0,
      value: encode(record),
    }));
  }

  /** Writes the records that have changed, when it is this instance's turn. */
  check(): void {
    if (this.missing().length > 0) this.writer.writeSoon();
  }

  private apply({key, value, offset}: KeyedRecord): boolean {
    const record = value === undefined ? undefined : decode(value);
    if (record === undefined || keyOf(record.service) !== key) {
      this.logInvalid(key, offset);
      return false;
    }
    if (isSameRecord(record, this.stored.get(key))) return false;
    this.stored.set(key, {...record, readAt: this.parts.timer.now()});
    this.parts.logger.info(
      {event: LogEvent.Store, ...record},
      'Read which software versions may have begun streams.',
    );
    return true;
  }

  private tellVersions(): void {
    const records = [...this.stored.values()];
    this.parts.versions.applyRecorded(
      new Map(
        records.map(({service, softwareVersions, complete}) => [
          service,
          {softwareVersions, isComplete: complete},
        ]),
      ),
    );
  }

  /** The records that the store should have and doesn't. */
  private missing(): VersionRecord[] {
    const {versions, timer} = this.parts;
    const mayWritePartial = timer.now() - this.readAt >= PARTIAL_DELAY_MS;
    return [...versions.services()].flatMap(service => {
      const softwareVersions = this.wanted(service).slice(-MAX_VERSIONS);
      const complete = versions.isComplete(service);
      if (!complete && !mayWritePartial) return [];
      const record = {service, softwareVersions, complete};
      return isSameRecord(record, this.stored.get(keyOf(service)))
        ? []
        : record;
    });
  }

  private wanted(service: string): string[] {
    const {versions, timer} = this.parts;
    const wanted = versions.versionsOf(service);
    const stored = this.stored.get(keyOf(service));
    if (stored === undefined) return [...wanted];
    if (timer.now() - stored.readAt >= REMOVAL_AGE_MS) return [...wanted];
    return [...new Set([...stored.softwareVersions, ...wanted])];
  }

  /** Returns whether all writes succeeded. */
  private async writeMissing(): Promise<boolean> {
    const {feed, epochs, logger} = this.parts;
    for (const record of this.missing()) {
      const key = keyOf(record.service);
      const result = epochs.observe(
        await feed.put(Topic.Instances, key, encode(record)),
      );
      if (result.isErr()) {
        logger.warn(
          {event: LogEvent.Store, key, failure: result.error},
          'Could not write the software versions of a service; will retry.',
        );
        return false;
      }
      logger.info(
        {event: LogEvent.Store, ...record},
        'Wrote which software versions may have begun streams.',
      );
      if (result.value.epoch === epochs.current) {
        const readAt = this.parts.timer.now();
        this.stored.set(key, {...record, readAt});
      }
    }
    return true;
  }

  private logInvalid(key: string, offset: number): void {
    if (this.invalid.has(key)) return;
    this.invalid.add(key);
    this.parts.logger.warn(
      {event: LogEvent.Store, key, offset},
      'Ignored an invalid record of software versions.',
    );
  }
}

function encode({service, softwareVersions, complete}: VersionRecord): Buffer {
  return Buffer.from(JSON.stringify({service, softwareVersions, complete}));
}

function decode(value: Buffer): VersionRecord | undefined {
  try {
    return recordSchema.safeParse(JSON.parse(value.toString('utf8'))).data;
  } catch {
    // Another program may have written the record. The caller logs it.
    return undefined;
  }
}

/** The key of a service's record, of one length however long its name is. */
function keyOf(service: string): string {
  return KEY_PREFIX + hasher.h64ToString(service);
}

function isSameRecord(a: VersionRecord, b: VersionRecord | undefined): boolean {
  if (b === undefined || a.complete !== b.complete) return false;
  const known = new Set(b.softwareVersions);
  return (
    known.size === new Set(a.softwareVersions).size &&
    a.softwareVersions.every(name => known.has(name))
  );
}
