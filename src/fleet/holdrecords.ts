import type {Logger} from 'pino';
import xxhash from 'xxhash-wasm';
import type {Hold} from '../quarantine/index.js';
import {
  Topic,
  type Feed,
  type KeyedRecord,
  type StoreEpoch,
} from '../registry/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import type {Timer} from '../timer/index.js';
import type {EvidenceLog} from './evidencelog.js';
import {decodeHold, encodeHold} from './evidencemessage.js';
import {TurnWriter} from './turnwriter.js';

const hasher = await xxhash();

/** Starts the keys of holds in the topic of the instances. */
const KEY_PREFIX = 'hold/';
/** Dependencies of [[HoldRecords]]. */
export interface HoldRecordsParts {
  log: EvidenceLog;
  feed: Pick<Feed, 'put'>;
  epochs: StoreEpoch;
  timer: Timer;
  logger: Logger;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** See [[TurnWriterParts]]. */
  rank(this: void): number;
  isKnown(this: void): boolean;
}

/** Whether a record of the topic of the instances is a hold, not an address. */
export function isHoldRecord({key}: KeyedRecord): boolean {
  return key.startsWith(KEY_PREFIX);
}

/**
 * Keeps the holds in the store, beside the addresses of the instances: earlier
 * builds ignore records that aren't addresses. Whoever knows a hold that the
 * store lacks writes it, in turns by rank, so that the first writers spare the
 * others the call.
 */
export class HoldRecords {
  /** Holds as the store has them, as far as known, by key. */
  private readonly stored = new Map<string, Hold>();
  /** Revisions that the store has acknowledged and that weren't read yet. */
  private readonly acknowledged = new Map<string, number>();
  /** Keys of invalid records that were logged. */
  private readonly invalid = new Set<string>();
  private readonly writer: TurnWriter;

  constructor(private readonly parts: HoldRecordsParts) {
    this.writer = new TurnWriter({
      ...parts,
      isMissing: () => this.missing().length > 0,
      write: () => this.writeMissing(),
    });
    parts.log.subscribe(({type}) => {
      if (type === 'hold') this.writeSoon();
    });
  }

  /** Applies new records; returns those that changed something. */
  add(records: KeyedRecord[]): KeyedRecord[] {
    return records.filter(record => this.apply(record));
  }

  /** Applies all records of the topic; returns those that changed something. */
  replace(records: KeyedRecord[]): KeyedRecord[] {
    const previous = new Map(this.stored);
    this.stored.clear();
    this.acknowledged.clear();
    const changes = this.add(records).filter(
      ({key}) => this.stored.get(key)?.revision !== previous.get(key)?.revision,
    );
    if (this.missing().length > 0) this.writeSoon();
    return changes;
  }

  /** The holds of the store as records. */
  known(): KeyedRecord[] {
    return [...this.stored].map(([key, hold]) => ({
      key,
      offset: 0,
      value: encodeHold(hold),
    }));
  }

  /** Writes what the store lacks, when it is this instance's turn. */
  writeSoon(): void {
    this.writer.writeSoon();
  }

  /** Ends the writing. */
  end(): void {
    this.writer.end();
  }

  private apply({key, value, offset}: KeyedRecord): boolean {
    const hold = value === undefined ? undefined : decodeHold(value);
    if (hold === undefined || keyOf(hold) !== key) {
      this.logInvalid(key, offset);
      return false;
    }
    this.parts.log.learn(hold);
    const known = this.stored.get(key);
    if (known !== undefined && known.revision >= hold.revision) return false;
    this.stored.set(key, hold);
    return true;
  }

  /** Holds that are newer here than in the store. */
  private missing(): Hold[] {
    return this.parts.log.holds().filter(hold => this.isMissing(hold));
  }

  private isMissing(hold: Hold): boolean {
    const key = keyOf(hold);
    const revision = Math.max(
      this.stored.get(key)?.revision ?? -1,
      this.acknowledged.get(key) ?? -1,
    );
    return revision < hold.revision;
  }

  /** Returns whether all writes succeeded. */
  private async writeMissing(): Promise<boolean> {
    const {feed, epochs, logger, random} = this.parts;
    const missing = this.missing();
    // The writers of a turn each start at another hold.
    const first = Math.floor(random() * missing.length);
    for (const hold of [...missing.slice(first), ...missing.slice(0, first)]) {
      // Another instance may have written it during the last call.
      if (!this.isMissing(hold)) continue;
      const key = keyOf(hold);
      const result = epochs.observe(
        await feed.put(Topic.Instances, key, encodeHold(hold)),
      );
      if (result.isErr()) {
        logger.warn(
          {event: LogEvent.Store, key, failure: result.error},
          'Could not write the hold of a prompt part; will retry.',
        );
        return false;
      }
      if (result.value.epoch === epochs.current) {
        this.acknowledged.set(key, hold.revision);
      }
    }
    return true;
  }

  private logInvalid(key: string, offset: number): void {
    if (this.invalid.has(key)) return;
    this.invalid.add(key);
    this.parts.logger.warn(
      {event: LogEvent.Store, key, offset},
      'Ignored an invalid hold of a prompt part.',
    );
  }
}

/** The key of a hold, of one length however long the id of its part is. */
function keyOf({part}: Hold): string {
  return KEY_PREFIX + hasher.h64ToString(part);
}
