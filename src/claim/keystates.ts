import type {LogRecord} from '../platform/index.js';
import {
  claimsRecordSchema,
  type ClaimEntry,
  type LogEntry,
  type ReleaseEntry,
  type ResultEntry,
} from './record.js';

/** What the log says about a key, up to some offset. */
export type KeyState =
  | {type: 'free'}
  | {type: 'held'; claim: ClaimEntry; offset: number}
  | {type: 'ended'; claim: ClaimEntry; result: ResultEntry; offset: number};

interface Slot {
  state: KeyState;
  /** Claims with a lower ordinal are void. */
  barrier: number;
  /** Attempts released, whose claims are void wherever they appear. */
  released: Set<string>;
  /** Wall-clock ms of the newest entry. */
  touchedAt: number;
}

const FREE: KeyState = {type: 'free'};

/**
 * The state of every key of one claims stream, as the order of its records
 * decides it. Two views that applied the same records agree; a second append
 * of the same batch changes nothing.
 */
export class KeyStates {
  /** Offset of the next record to apply. */
  nextOffset = 0;
  private readonly slots = new Map<string, Slot>();
  private readonly batches = new Map<string, number>();

  /** Applies a record unless it was applied before. */
  apply({offset, time, value}: LogRecord): void {
    if (offset < this.nextOffset) return;
    this.nextOffset = offset + 1;
    const parsed = claimsRecordSchema.safeParse(value);
    if (!parsed.success || this.batches.has(parsed.data.id)) return;
    this.batches.set(parsed.data.id, time);
    for (const entry of parsed.data.entries) this.take(entry, offset, time);
  }

  /** Whether the batch with this id has been read. */
  hasBatch(batch: string): boolean {
    return this.batches.has(batch);
  }

  stateOf(key: string): KeyState {
    return this.slots.get(key)?.state ?? FREE;
  }

  /** Whether a claim by this attempt can never win. */
  isVoid({key, attempt, ordinal}: ClaimEntry): boolean {
    const slot = this.slots.get(key);
    if (slot === undefined) return false;
    return slot.released.has(attempt) || ordinal < slot.barrier;
  }

  /** Forgets keys whose newest entry is older than `before`, wall-clock ms. */
  expire(before: number): void {
    for (const [key, slot] of this.slots) {
      if (slot.touchedAt < before) this.slots.delete(key);
    }
    for (const [id, time] of this.batches) {
      if (time < before) this.batches.delete(id);
    }
  }

  /** Number of keys remembered. */
  get size(): number {
    return this.slots.size;
  }

  private take(entry: LogEntry, offset: number, time: number): void {
    const slot = this.slotOf(entry.key);
    slot.touchedAt = Math.max(slot.touchedAt, time);
    switch (entry.type) {
      case 'claim':
        if (slot.state.type !== 'free' || this.isVoid(entry)) return;
        slot.state = {type: 'held', claim: entry, offset};
        return;
      case 'release':
        this.release(slot, entry);
        return;
      case 'result': {
        const {state} = slot;
        if (state.type !== 'held') return;
        if (state.claim.attempt !== entry.attempt) return;
        slot.state = {...state, type: 'ended', result: entry};
      }
    }
  }

  private release(slot: Slot, entry: ReleaseEntry): void {
    slot.released.add(entry.attempt);
    slot.barrier = Math.max(slot.barrier, entry.ordinal);
    const {state} = slot;
    if (state.type === 'held' && state.claim.attempt === entry.attempt) {
      slot.state = FREE;
    }
  }

  private slotOf(key: string): Slot {
    const known = this.slots.get(key);
    if (known !== undefined) return known;
    const slot: Slot = {
      state: FREE,
      barrier: 0,
      released: new Set(),
      touchedAt: 0,
    };
    this.slots.set(key, slot);
    return slot;
  }
}
