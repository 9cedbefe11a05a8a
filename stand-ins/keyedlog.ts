/** A record of a keyed topic. One without a value removes its key. */
export interface LoggedRecord {
  key: string;
  value?: Buffer;
  offset: number;
}

/** A record that was lost when a log was restored. */
export interface LostRecord<
  Topic extends string = string,
> extends LoggedRecord {
  topic: Topic;
}

interface TopicState {
  records: LoggedRecord[];
  /** When each record was written, in ms. */
  times: number[];
  /** Offset of the oldest record that reads still return. */
  first: number;
}

/**
 * Keyed topics, which give out offsets without gaps and keep the newest record
 * of each key. They can be restored to what they were some time ago.
 */
export class KeyedLog<Topic extends string = string> {
  private readonly topics = new Map<Topic, TopicState>();
  private readonly waiters = new Map<Topic, Set<() => void>>();

  constructor(
    /** Time in ms since any origin. */
    private readonly now: () => number,
    /** Rises with each restoration. */
    public epoch = 1,
  ) {}

  /** Appends a record and returns its offset. */
  append(topic: Topic, key: string, value?: Buffer): number {
    const {records, times} = this.stateOf(topic);
    const offset = records.length;
    records.push(value === undefined ? {key, offset} : {key, value, offset});
    times.push(this.now());
    this.wake(topic);
    return offset;
  }

  /** Offset after the last record of a topic. */
  end(topic: Topic): number {
    return this.stateOf(topic).records.length;
  }

  /** Offset of the oldest record that reads still return. */
  first(topic: Topic): number {
    return this.stateOf(topic).first;
  }

  /** Deletes the records before an offset, except the newest of each key. */
  trim(topic: Topic, before: number): void {
    const state = this.stateOf(topic);
    state.first = Math.max(state.first, Math.min(before, state.records.length));
  }

  /** The newest record of each key that has a value. */
  newest(topic: Topic): LoggedRecord[] {
    const {records} = this.stateOf(topic);
    const newest = new Map(records.map(record => [record.key, record]));
    return [...newest.values()].filter(({value}) => value !== undefined);
  }

  /** Records from an offset on; undefined if the topic doesn't have it. */
  read(topic: Topic, from: number): LoggedRecord[] | undefined {
    const {records, first} = this.stateOf(topic);
    const isKnown = from >= first && from <= records.length;
    return isKnown ? records.slice(from) : undefined;
  }

  /**
   * Goes back to a copy taken `ageMs` ago and raises the epoch. The offsets
   * after the copy are given out again. Returns what was lost, in the order in
   * which it was written.
   */
  restore(ageMs: number): Array<LostRecord<Topic>> {
    const copiedAt = this.now() - ageMs;
    const lost: Array<LostRecord<Topic> & {at: number}> = [];
    for (const [topic, state] of this.topics) {
      const index = state.times.findIndex(at => at > copiedAt);
      if (index === -1) continue;
      const times = state.times.splice(index);
      for (const [n, record] of state.records.splice(index).entries()) {
        lost.push({...record, topic, at: times[n] ?? 0});
      }
      state.first = Math.min(state.first, index);
    }
    this.epoch++;
    this.wakeAll();
    return lost
      .sort((a, b) => a.at - b.at)
      .map(({topic, key, value, offset}) =>
        value === undefined
          ? {topic, key, offset}
          : {topic, key, value, offset},
      );
  }

  /** Calls `listener` at the next change of a topic; returns how to end that. */
  onChange(topic: Topic, listener: () => void): () => void {
    const waiters = this.waiters.get(topic) ?? new Set();
    this.waiters.set(topic, waiters.add(listener));
    return () => waiters.delete(listener);
  }

  /** Calls everyone who waits for a change. */
  wakeAll(): void {
    for (const topic of this.waiters.keys()) this.wake(topic);
  }

  private wake(topic: Topic): void {
    const waiters = [...(this.waiters.get(topic) ?? [])];
    this.waiters.get(topic)?.clear();
    for (const wake of waiters) wake();
  }

  private stateOf(topic: Topic): TopicState {
    const state = this.topics.get(topic) ?? {records: [], times: [], first: 0};
    this.topics.set(topic, state);
    return state;
  }
}
