import type {LogRecord} from '../platform/index.js';
import {
  claimsRecordSchema,
  type ClaimEntry,
  type LogEntry,
  type ReleaseEntry,
  type ResultEntry,
} from './record.js';

/** State of a key after the records of its stream up to some offset. */
export type KeyState =
  | {type: 'free'}
  | {type: 'held'; claim: ClaimEntry; offset: number}
  | {type: 'ended'; claim: ClaimEntry; result: ResultEntry; offset: number};

/** State of a key, and what later claims of it are checked against. */
interface KeyRecord {
  state: KeyState;
  /** Claims with a lower ordinal are void. */
  minOrdinal: number;
  /** Released attempts. Their later claims of the key are void. */
  releasedAttempts: Set<string>;
  /** When the newest entry was appended, in Unix ms. */
  updatedAt: number;
}

const FREE: KeyState = {type: 'free'};

/**
 * State of every key of one claims stream, derived from its records in order of
 * their offsets. Instances that applied the same records compute the same
 * states. A batch that was appended twice is applied once.
 */
export class KeyStates {
  /** Offset of the next record to apply. */
  nextOffset = 0;
  private readonly records = new Map<string, KeyRecord>();
  /** Unix ms at which each applied batch was appended, by id. */
  private readonly batchTimes = new Map<string, number>();

  /** Applies a record, unless it or its batch was applied before. */
  apply({offset, time, value}: LogRecord): void {
    if (offset < this.nextOffset) return;
    this.nextOffset = offset + 1;
    const parsed = claimsRecordSchema.safeParse(value);
    if (!parsed.success || this.batchTimes.has(parsed.data.id)) return;
    this.batchTimes.set(parsed.data.id, time);
    for (const entry of parsed.data.entries) this.addEntry(entry, offset, time);
  }

  /** Whether the batch with this id was applied. */
  hasBatch(batch: string): boolean {
    return this.batchTimes.has(batch);
  }

  stateOf(key: string): KeyState {
    return this.records.get(key)?.state ?? FREE;
  }

  /**
   * Whether a claim can never win, as its attempt, or one of the key with a
   * higher ordinal, was released.
   */
  isVoid({key, attempt, ordinal}: ClaimEntry): boolean {
    const record = this.records.get(key);
    if (record === undefined) return false;
    return record.releasedAttempts.has(attempt) || ordinal < record.minOrdinal;
  }

  /** Forgets keys and batches with no entry since `before`, in Unix ms. */
  expire(before: number): void {
    for (const [key, record] of this.records) {
      if (record.updatedAt < before) this.records.delete(key);
    }
    for (const [id, time] of this.batchTimes) {
      if (time < before) this.batchTimes.delete(id);
    }
  }

  /** Number of known keys. */
  get size(): number {
    return this.records.size;
  }

  private addEntry(entry: LogEntry, offset: number, time: number): void {
    const record = this.recordOf(entry.key);
    record.updatedAt = Math.max(record.updatedAt, time);
    switch (entry.type) {
      case 'claim':
        if (record.state.type !== 'free' || this.isVoid(entry)) return;
        record.state = {type: 'held', claim: entry, offset};
        return;
      case 'release':
        this.addRelease(record, entry);
        return;
      case 'result': {
        const {state} = record;
        if (state.type !== 'held') return;
        if (state.claim.attempt !== entry.attempt) return;
        record.state = {...state, type: 'ended', result: entry};
      }
    }
  }

  private addRelease(record: KeyRecord, entry: ReleaseEntry): void {
    record.releasedAttempts.add(entry.attempt);
    record.minOrdinal = Math.max(record.minOrdinal, entry.ordinal);
    const {state} = record;
    if (state.type === 'held' && state.claim.attempt === entry.attempt) {
      record.state = FREE;
    }
  }

  private recordOf(key: string): KeyRecord {
    const known = this.records.get(key);
    if (known !== undefined) return known;
    const record: KeyRecord = {
      state: FREE,
      minOrdinal: 0,
      releasedAttempts: new Set(),
      updatedAt: 0,
    };
    this.records.set(key, record);
    return record;
  }
}
