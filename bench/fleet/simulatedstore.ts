import {err, ok, type Result} from 'neverthrow';
import {
  FEED_TIMEOUTS,
  Topic,
  type Feed,
  type FeedFailure,
  type FeedPage,
  type KeyedRecord,
  type Snapshot,
} from '../../src/registry/index.js';
import {KeyedLog, type LostRecord} from '../../stand-ins/keyedlog.js';
import type {ManualTimer} from '../../src/timer/index.js';
import type {InstanceTimer} from './instancetimer.js';

/** Time from a call to its response, in ms, as of the deployments' stores. */
export const RESPONSE_MS = 4;

/** How the store treats an instance. */
export enum StoreState {
  Serves = 'serves',
  /** Answers at once that it does nothing. */
  Refuses = 'refuses',
  /** Doesn't answer. */
  Silent = 'silent',
}

/** Calls that an instance or a fleet made, by kind. */
export interface StoreCalls {
  reads: number;
  snapshots: number;
  puts: number;
  /** Calls of any kind that were not served. */
  failed: number;
}

/** The keyed topics of the platform's store, in virtual time. */
export class SimulatedStore {
  readonly calls: StoreCalls = {reads: 0, snapshots: 0, puts: 0, failed: 0};
  /** Returns the time from a call to its response, in ms. */
  responseMs = () => RESPONSE_MS;
  /** How the store treats everyone while it is away. */
  private away?: StoreState;
  private readonly log: KeyedLog<Topic>;

  constructor(
    private readonly timer: ManualTimer,
    private readonly stateFor: (instance: string) => StoreState,
  ) {
    this.log = new KeyedLog(() => timer.now(), 0);
  }

  get epoch(): number {
    return this.log.epoch;
  }

  /** Whether nobody can read or write. */
  get isAway(): boolean {
    return this.away !== undefined;
  }

  /** Appends a record and returns its offset. */
  append(topic: Topic, key: string, value: Buffer | undefined): number {
    return this.log.append(topic, key, value);
  }

  /** The newest record of each key of a topic. */
  newest(topic: Topic): KeyedRecord[] {
    return this.log.newest(topic);
  }

  /** Drops the history of a topic; the newest record of each key stays. */
  forget(topic: Topic): void {
    this.log.trim(topic, this.log.end(topic));
  }

  /** Ends all calls and serves nobody until it returns. */
  leave(state: Exclude<StoreState, StoreState.Serves>): void {
    this.away = state;
    this.log.wakeAll();
  }

  /**
   * Returns from a copy that was taken `ageMs` ago. What was written since is
   * lost and is returned; its offsets are given out again in a new epoch.
   */
  returnFromCopy(ageMs: number): Array<LostRecord<Topic>> {
    delete this.away;
    return this.log.restore(ageMs);
  }

  /** The client of an instance, which sees responses by its own timer. */
  feedOf(instance: string, timer: InstanceTimer): Feed {
    const receive = async <Value>(response: Promise<Value>) => {
      const value = await response;
      await new Promise<void>(resolve => timer.run(resolve));
      return value;
    };
    return {
      snapshot: topic =>
        receive(this.serve(instance, 'snapshots', () => this.snapshot(topic))),
      put: (topic, key, value) =>
        receive(
          this.serve(instance, 'puts', () => {
            this.append(topic, key, value);
            return {epoch: this.epoch};
          }),
        ),
      read: (topic, from, waitMs) =>
        receive(
          this.waitForRecord(topic, from, waitMs).then(() =>
            this.serve(instance, 'reads', () => this.page(topic, from)),
          ),
        ),
    };
  }

  private snapshot(topic: Topic): Snapshot {
    const records = this.log.newest(topic);
    return {records, end: this.log.end(topic), epoch: this.epoch};
  }

  private page(topic: Topic, from: number): FeedPage {
    const {log, epoch} = this;
    const records = log.read(topic, from);
    return records === undefined
      ? {type: 'expired', first: log.first(topic), epoch}
      : {type: 'records', records, end: log.end(topic), epoch};
  }

  private async waitForRecord(
    topic: Topic,
    from: number,
    waitMs: number,
  ): Promise<void> {
    if (waitMs === 0 || this.isAway || this.log.end(topic) !== from) return;
    await new Promise<void>(resolve => {
      const finish = () => {
        stopListening();
        timeout.end();
        resolve();
      };
      const timeout = this.timer.after(waitMs, finish);
      const stopListening = this.log.onChange(topic, finish);
    });
  }

  private async serve<Value>(
    instance: string,
    kind: Exclude<keyof StoreCalls, 'failed'>,
    action: () => Value,
  ): Promise<Result<Value, FeedFailure>> {
    this.calls[kind]++;
    const state = this.away ?? this.stateFor(instance);
    if (state !== StoreState.Serves) this.calls.failed++;
    switch (state) {
      case StoreState.Serves: {
        const value = action();
        await this.timer.sleep(this.responseMs());
        return ok(value);
      }
      case StoreState.Refuses: {
        const {epoch} = this;
        await this.timer.sleep(this.responseMs());
        return err({type: 'refused', status: 503, epoch});
      }
      case StoreState.Silent: {
        const limitMs = FEED_TIMEOUTS.responseMs;
        await this.timer.sleep(limitMs);
        return err({type: 'timeout', limitMs});
      }
    }
  }
}
