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
import type {ManualTimer} from '../../src/timer/index.js';
import type {InstanceTimer} from './instancetimer.js';

/** Time from a call to its response, in ms, as of the deployments' stores. */
const RESPONSE_MS = 4;

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

interface Waiter {
  from: number;
  wake: () => void;
}

/** The keyed topics of the platform's store, in virtual time. */
export class SimulatedStore {
  readonly calls: StoreCalls = {reads: 0, snapshots: 0, puts: 0, failed: 0};
  private readonly records = new Map<Topic, KeyedRecord[]>();
  /** Offset of the oldest record still retained, by topic. */
  private readonly firstOffsets = new Map<Topic, number>();
  private readonly waiters = new Map<Topic, Set<Waiter>>();

  constructor(
    private readonly timer: ManualTimer,
    private readonly stateFor: (instance: string) => StoreState,
  ) {
    for (const topic of Object.values(Topic)) {
      this.records.set(topic, []);
      this.waiters.set(topic, new Set());
    }
  }

  /** Appends a record and returns its offset. */
  append(topic: Topic, key: string, value: Buffer | undefined): number {
    const records = this.recordsOf(topic);
    const offset = records.length;
    records.push(value === undefined ? {key, offset} : {key, value, offset});
    for (const waiter of this.waiters.get(topic) ?? []) waiter.wake();
    return offset;
  }

  /** Drops the history of a topic; the newest record of each key stays. */
  forget(topic: Topic): void {
    this.firstOffsets.set(topic, this.recordsOf(topic).length);
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
            return {epoch: 0};
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

  private recordsOf(topic: Topic): KeyedRecord[] {
    return this.records.get(topic) ?? [];
  }

  private snapshot(topic: Topic): Snapshot {
    const records = this.recordsOf(topic);
    const newest = new Map(records.map(record => [record.key, record]));
    const present = [...newest.values()].filter(({value}) => value);
    return {records: present, end: records.length, epoch: 0};
  }

  private page(topic: Topic, from: number): FeedPage {
    const records = this.recordsOf(topic);
    const first = this.firstOffsets.get(topic) ?? 0;
    if (from < first) return {type: 'expired', first, epoch: 0};
    const end = records.length;
    return {type: 'records', records: records.slice(from), end, epoch: 0};
  }

  private async waitForRecord(
    topic: Topic,
    from: number,
    waitMs: number,
  ): Promise<void> {
    if (waitMs === 0 || this.recordsOf(topic).length > from) return;
    await new Promise<void>(resolve => {
      const waiters = this.waiters.get(topic);
      const finish = () => {
        waiters?.delete(waiter);
        timeout.end();
        resolve();
      };
      const waiter: Waiter = {from, wake: finish};
      const timeout = this.timer.after(waitMs, finish);
      waiters?.add(waiter);
    });
  }

  private async serve<Value>(
    instance: string,
    kind: Exclude<keyof StoreCalls, 'failed'>,
    action: () => Value,
  ): Promise<Result<Value, FeedFailure>> {
    this.calls[kind]++;
    const state = this.stateFor(instance);
    if (state !== StoreState.Serves) this.calls.failed++;
    switch (state) {
      case StoreState.Serves: {
        const value = action();
        await this.timer.sleep(RESPONSE_MS);
        return ok(value);
      }
      case StoreState.Refuses:
        await this.timer.sleep(RESPONSE_MS);
        return err({type: 'refused', status: 503});
      case StoreState.Silent: {
        const limitMs = FEED_TIMEOUTS.responseMs;
        await this.timer.sleep(limitMs);
        return err({type: 'timeout', limitMs});
      }
    }
  }
}
