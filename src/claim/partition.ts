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

/** Appends a second that claims of the whole fleet may use. */
const FLEET_APPENDS_PER_SECOND = 200;
/** As each stream has one home, its share does not depend on the fleet. */
const APPENDS_PER_SECOND = FLEET_APPENDS_PER_SECOND / PARTITION_COUNT;
const BATCH_LIMIT = 256;
/** Longest time a release or result waits for a claim to be appended with. */
const LINGER_MS = 250;
/** Longest time an entry waits for its turn to be appended. */
const TURN_TIMEOUT_MS = 1_500;
/** How long new entries are refused after the log failed. */
const PAUSE_MS = 400;
const APPEND_TRIES = 3;
const THROTTLED_STATUS = 429;
const THROTTLE_DELAY_MS = 60;
const STALE_READS_LIMIT = 20;
const STALE_DELAY_MS = 50;

/** What the log's order decides about a claim. */
export type Verdict =
  /** The attempt holds the key and may be dispatched once. */
  | {type: 'won'; offset: number}
  /** Another attempt holds the key; its end is not recorded yet. */
  | {type: 'held'; claim: ClaimEntry}
  | Extract<KeyState, {type: 'ended'}>
  /** The claim can never win. */
  | {type: 'void'};

/** Why an entry is not known to be in the log. It may be there all the same. */
export type ClaimFailure =
  | {type: 'logFailed'; cause: PlatformFailure}
  | {type: 'turnTimeout'; limitMs: number}
  /** Reads do not show a record that was appended. */
  | {type: 'staleLog'}
  | {type: 'logPaused'};

interface Waiting {
  entry: LogEntry;
  since: number;
  settle: (result: Result<KeyState, ClaimFailure>) => void;
}

/** Counters of one instance's claims, for reports. */
export interface ClaimUsage {
  appends: number;
  entries: number;
  reads: number;
  /** Appends repeated because the answer to the first was lost. */
  repeats: number;
}

/**
 * One claims stream, as this instance appends to it and reads it. Entries that
 * arrive while an append is under way or the budget is spent share the next.
 */
export class Partition {
  private readonly view = new KeyStates();
  private readonly waiting: Waiting[] = [];
  private readonly stream: string;
  private readonly budget: AppendLimiter;
  private pumping = false;
  private lingering = false;
  private synced = false;
  private pausedUntil = 0;

  constructor(
    number: number,
    private readonly log: Log,
    private readonly timer: Timer,
    private readonly usage: ClaimUsage,
  ) {
    this.stream = claimsStreamName(number);
    this.budget = new AppendLimiter(timer, APPENDS_PER_SECOND);
  }

  /** Claims a key, and returns what the log decided. */
  async claim(entry: ClaimEntry): Promise<Result<Verdict, ClaimFailure>> {
    const early = this.judge(entry);
    if (this.synced && early !== undefined) return ok(early);
    const state = await this.submit(entry, true);
    return state.map(() => this.judge(entry) ?? {type: 'void'});
  }

  /** Appends a release or a result. */
  async record(
    entry: LogEntry,
    urgent: boolean,
  ): Promise<Result<void, ClaimFailure>> {
    return (await this.submit(entry, urgent)).map(() => undefined);
  }

  /** Reads what was appended since, and returns the state of a key. */
  async readState(key: string): Promise<Result<KeyState, ClaimFailure>> {
    const read = await this.catchUp();
    return read.map(() => this.view.stateOf(key));
  }

  /** The state of a key as far as it has been read. */
  lastReadState(key: string): KeyState {
    return this.view.stateOf(key);
  }

  /** Forgets keys untouched since `before`, wall-clock ms. */
  expire(before: number): void {
    this.view.expire(before);
  }

  /** Number of keys remembered. */
  get size(): number {
    return this.view.size;
  }

  private judge(entry: ClaimEntry): Verdict | undefined {
    if (this.view.isVoid(entry)) return {type: 'void'};
    const state = this.view.stateOf(entry.key);
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
      this.waiting.push({entry, since: this.timer.now(), settle});
      if (urgent) void this.pump();
      else this.linger();
    });
  }

  private linger(): void {
    if (this.lingering || this.pumping) return;
    this.lingering = true;
    this.timer.after(LINGER_MS, () => {
      this.lingering = false;
      void this.pump();
    });
  }

  private async pump(): Promise<void> {
    if (this.pumping) return;
    this.pumping = true;
    while (this.waiting.length > 0) {
      await this.budget.acquire();
      this.dropLate();
      const batch = this.waiting.splice(0, BATCH_LIMIT);
      if (batch.length === 0) continue;
      const done = await this.commit(batch.map(({entry}) => entry));
      if (done.isErr()) this.fail(done.error);
      for (const {entry, settle} of batch) {
        settle(done.map(() => this.view.stateOf(entry.key)));
      }
    }
    this.pumping = false;
  }

  private dropLate(): void {
    const limit = this.timer.now() - TURN_TIMEOUT_MS;
    while (this.waiting[0] !== undefined && this.waiting[0].since < limit) {
      const late = this.waiting.shift();
      late?.settle(err({type: 'turnTimeout', limitMs: TURN_TIMEOUT_MS}));
    }
  }

  /** Refuses everything that waits, and new entries for a while. */
  private fail(failure: ClaimFailure): void {
    this.pausedUntil = this.timer.now() + PAUSE_MS;
    for (const {settle} of this.waiting.splice(0)) settle(err(failure));
  }

  private async commit(
    entries: LogEntry[],
  ): Promise<Result<void, ClaimFailure>> {
    const record: ClaimsRecord = {type: 'claims', id: uuidv7(), entries};
    let failure: PlatformFailure | undefined;
    for (let turn = 0; turn < APPEND_TRIES; turn++) {
      if (turn > 0) this.usage.repeats++;
      this.usage.appends++;
      this.usage.entries += entries.length;
      const appended = await this.log.append(this.stream, record);
      if (appended.isOk()) return this.readBack(record, appended.value);
      failure = appended.error;
      if (failure.type === 'refused') {
        if (failure.status !== THROTTLED_STATUS) break;
        await this.timer.sleep(THROTTLE_DELAY_MS * (1 + Math.random()));
        continue;
      }
      if (await this.tookEffect(record.id)) return ok(undefined);
    }
    return err({
      type: 'logFailed',
      cause: failure ?? {type: 'timeout', operation: 'append'},
    });
  }

  /** Tells whether a batch whose answer was lost is in the stream. */
  private async tookEffect(batch: string): Promise<boolean> {
    const read = await this.catchUp();
    return read.isOk() && this.view.hasBatch(batch);
  }

  /**
   * Reads the stream up to an appended record. When nothing lies between the
   * last record read and this one, its own content is all there is to read.
   */
  private async readBack(
    record: ClaimsRecord,
    offset: number,
  ): Promise<Result<void, ClaimFailure>> {
    if (this.synced && this.view.nextOffset === offset) {
      this.view.apply({offset, time: this.timer.wallNow(), value: record});
      return ok(undefined);
    }
    return this.catchUp(offset + 1);
  }

  /**
   * Reads records up to `until`, or to the end of the stream. A page may come
   * from a replica that lags; what is known to be there is asked for again.
   */
  private async catchUp(until = 0): Promise<Result<void, ClaimFailure>> {
    for (let stale = 0; stale < STALE_READS_LIMIT;) {
      if (until > 0 && this.view.nextOffset >= until) return ok(undefined);
      const page = await this.log.read(this.stream, {
        from: this.view.nextOffset,
      });
      this.usage.reads++;
      if (page.isErr()) return err({type: 'logFailed', cause: page.error});
      const {records, next} = page.value;
      this.applyAll(records);
      if (records.length > 0 && this.view.nextOffset < next) continue;
      this.synced = true;
      if (this.view.nextOffset >= until) return ok(undefined);
      stale++;
      await this.timer.sleep(STALE_DELAY_MS);
    }
    return err({type: 'staleLog'});
  }

  private applyAll(records: readonly LogRecord[]): void {
    for (const record of records) this.view.apply(record);
  }
}
