import {err, ok, type Result} from 'neverthrow';
import {v7 as uuidv7} from 'uuid';
import type {Log, LogRecord, PlatformFailure} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import {AppendLimiter} from './appendlimiter.js';
import {PARTITION_COUNT} from './key.js';
import {
  claimsStreamName,
  type ClaimEntry,
  type LogEntry,
  type ClaimsRecord,
} from './record.js';
import {KeyStates, type KeyState} from './keystates.js';

/** Rate of appends for claims in the whole fleet. */
const MAX_FLEET_APPENDS_PER_SECOND = 200;
/**
 * Rate of appends to one stream. As a rule, only the stream's owner appends to
 * it, so the rate does not depend on the number of instances.
 */
const MAX_APPENDS_PER_SECOND = MAX_FLEET_APPENDS_PER_SECOND / PARTITION_COUNT;
const MAX_BATCH_ENTRIES = 256;
/** Longest time a non-urgent entry waits for others to batch with. */
const MAX_BATCH_DELAY_MS = 250;
/** Longest time an entry waits in the queue. */
const QUEUE_TIMEOUT_MS = 1_500;
/** Time after a failed append for which new entries are rejected. */
const FAILURE_PAUSE_MS = 400;
const MAX_APPEND_TRIES = 3;
/** HTTP status of the log when it limits the rate of appends. */
const THROTTLED_STATUS = 429;
/** Shortest pause after a throttled append; jitter adds up to as much. */
const MIN_THROTTLE_DELAY_MS = 60;
/** Reads in which a record that was appended may be missing. */
const MAX_STALE_READS = 20;
const STALE_READ_DELAY_MS = 50;

/** Result of a claim, decided by the order of the stream's records. */
export type Verdict =
  /** The attempt holds the key and may be dispatched once. */
  | {type: 'won'; offset: number}
  /** Another attempt holds the key, and its result is not recorded yet. */
  | {type: 'held'; claim: ClaimEntry}
  | Extract<KeyState, {type: 'ended'}>
  /** The attempt was released, or a later attempt of the key was. */
  | {type: 'void'};

/** Why an append or read failed. The entry may still be in the log. */
export type ClaimFailure =
  | {type: 'logFailed'; cause: PlatformFailure}
  | {type: 'turnTimeout'; limitMs: number}
  /** Reads still don't return a record that was appended. */
  | {type: 'staleLog'}
  /** Entries are rejected for a short time after a failed append. */
  | {type: 'logPaused'};

/** An entry that waits to be appended. */
interface QueuedEntry {
  entry: LogEntry;
  /** Monotonic ms. */
  submittedAt: number;
  settle: (result: Result<KeyState, ClaimFailure>) => void;
}

/** Counters of one instance's appends and reads of claims. */
export interface ClaimUsage {
  appends: number;
  entries: number;
  reads: number;
  /** Appends repeated after a lost response or throttling. */
  repeats: number;
}

/**
 * Appends to and reads one claims stream. Entries that arrive during an append,
 * or while the rate limit delays it, are appended together in the next batch.
 */
export class Partition {
  private readonly keyStates = new KeyStates();
  private readonly queue: QueuedEntry[] = [];
  private readonly stream: string;
  private readonly limiter: AppendLimiter;
  private appending = false;
  private appendScheduled = false;
  /** Whether the stream was once read up to its end. */
  private caughtUp = false;
  private pausedUntil = 0;

  constructor(
    number: number,
    private readonly log: Log,
    private readonly timer: Timer,
    private readonly usage: ClaimUsage,
  ) {
    this.stream = claimsStreamName(number);
    this.limiter = new AppendLimiter(timer, MAX_APPENDS_PER_SECOND);
  }

  /** Appends a claim and returns the verdict on it. */
  async claim(entry: ClaimEntry): Promise<Result<Verdict, ClaimFailure>> {
    const known = this.verdictOf(entry);
    if (this.caughtUp && known !== undefined) return ok(known);
    const state = await this.submit(entry, true);
    return state.map(() => this.verdictOf(entry) ?? {type: 'void'});
  }

  /** Appends a release or a result. */
  async record(
    entry: LogEntry,
    urgent: boolean,
  ): Promise<Result<void, ClaimFailure>> {
    return (await this.submit(entry, urgent)).map(() => undefined);
  }

  /** Reads the stream to its end and returns the state of a key. */
  async readState(key: string): Promise<Result<KeyState, ClaimFailure>> {
    const read = await this.catchUp();
    return read.map(() => this.keyStates.stateOf(key));
  }

  /** State of a key after the records read so far. */
  lastReadState(key: string): KeyState {
    return this.keyStates.stateOf(key);
  }

  /** Forgets keys with no entry since `before`, in Unix ms. */
  expire(before: number): void {
    this.keyStates.expire(before);
  }

  /** Number of known keys. */
  get size(): number {
    return this.keyStates.size;
  }

  /** Verdict from the records read so far; undefined if the key is free. */
  private verdictOf(entry: ClaimEntry): Verdict | undefined {
    if (this.keyStates.isVoid(entry)) return {type: 'void'};
    const state = this.keyStates.stateOf(entry.key);
    switch (state.type) {
      case 'free':
        return undefined;
      case 'ended':
        return state;
      case 'held':
        return state.claim.attempt === entry.attempt
          ? {type: 'won', offset: state.offset}
          : {type: 'held', claim: state.claim};
    }
  }

  private submit(
    entry: LogEntry,
    urgent: boolean,
  ): Promise<Result<KeyState, ClaimFailure>> {
    if (this.timer.now() < this.pausedUntil) {
      return Promise.resolve(err({type: 'logPaused'}));
    }
    return new Promise(settle => {
      this.queue.push({entry, submittedAt: this.timer.now(), settle});
      if (urgent) void this.appendQueued();
      else this.scheduleAppend();
    });
  }

  private scheduleAppend(): void {
    if (this.appendScheduled || this.appending) return;
    this.appendScheduled = true;
    this.timer.after(MAX_BATCH_DELAY_MS, () => {
      this.appendScheduled = false;
      void this.appendQueued();
    });
  }

  private async appendQueued(): Promise<void> {
    if (this.appending) return;
    this.appending = true;
    while (this.queue.length > 0) {
      await this.limiter.acquire();
      this.rejectTimedOut();
      const batch = this.queue.splice(0, MAX_BATCH_ENTRIES);
      if (batch.length === 0) continue;
      const appended = await this.appendBatch(batch.map(({entry}) => entry));
      if (appended.isErr()) this.pauseAfterFailure(appended.error);
      for (const {entry, settle} of batch) {
        settle(appended.map(() => this.keyStates.stateOf(entry.key)));
      }
    }
    this.appending = false;
  }

  private rejectTimedOut(): void {
    const oldestAllowed = this.timer.now() - QUEUE_TIMEOUT_MS;
    while (
      this.queue[0] !== undefined &&
      this.queue[0].submittedAt < oldestAllowed
    ) {
      const timedOut = this.queue.shift();
      timedOut?.settle(err({type: 'turnTimeout', limitMs: QUEUE_TIMEOUT_MS}));
    }
  }

  /** Rejects all queued entries, and new ones for [[FAILURE_PAUSE_MS]]. */
  private pauseAfterFailure(failure: ClaimFailure): void {
    this.pausedUntil = this.timer.now() + FAILURE_PAUSE_MS;
    for (const {settle} of this.queue.splice(0)) settle(err(failure));
  }

  private async appendBatch(
    entries: LogEntry[],
  ): Promise<Result<void, ClaimFailure>> {
    const record: ClaimsRecord = {type: 'claims', id: uuidv7(), entries};
    let failure: PlatformFailure | undefined;
    for (let attempt = 0; attempt < MAX_APPEND_TRIES; attempt++) {
      if (attempt > 0) this.usage.repeats++;
      this.usage.appends++;
      this.usage.entries += entries.length;
      const appended = await this.log.append(this.stream, record);
      if (appended.isOk()) return this.readBack(record, appended.value);
      failure = appended.error;
      if (failure.type === 'refused') {
        if (failure.status !== THROTTLED_STATUS) break;
        await this.timer.sleep(MIN_THROTTLE_DELAY_MS * (1 + Math.random()));
        continue;
      }
      if (await this.wasAppended(record.id)) return ok(undefined);
    }
    return err({
      type: 'logFailed',
      cause: failure ?? {type: 'timeout', operation: 'append'},
    });
  }

  /** Whether a batch is in the stream; used when the response was lost. */
  private async wasAppended(batchId: string): Promise<boolean> {
    const read = await this.catchUp();
    return read.isOk() && this.keyStates.hasBatch(batchId);
  }

  /**
   * Reads the stream up to an appended record. If the record directly follows
   * the last one read, it is applied from memory without a read.
   */
  private async readBack(
    record: ClaimsRecord,
    offset: number,
  ): Promise<Result<void, ClaimFailure>> {
    if (this.caughtUp && this.keyStates.nextOffset === offset) {
      this.keyStates.apply({offset, time: this.timer.wallNow(), value: record});
      return ok(undefined);
    }
    return this.catchUp(offset + 1);
  }

  /**
   * Reads the records before offset `until`, or to the end of the stream. A
   * replica that lags may return a page without records that are known to be
   * in the stream; the read is then repeated.
   */
  private async catchUp(until = 0): Promise<Result<void, ClaimFailure>> {
    for (let staleReads = 0; staleReads < MAX_STALE_READS;) {
      if (until > 0 && this.keyStates.nextOffset >= until) return ok(undefined);
      const page = await this.log.read(this.stream, {
        from: this.keyStates.nextOffset,
      });
      this.usage.reads++;
      if (page.isErr()) return err({type: 'logFailed', cause: page.error});
      const {records, next} = page.value;
      this.applyAll(records);
      if (records.length > 0 && this.keyStates.nextOffset < next) continue;
      this.caughtUp = true;
      if (this.keyStates.nextOffset >= until) return ok(undefined);
      staleReads++;
      await this.timer.sleep(STALE_READ_DELAY_MS);
    }
    return err({type: 'staleLog'});
  }

  private applyAll(records: readonly LogRecord[]): void {
    for (const record of records) this.keyStates.apply(record);
  }
}
