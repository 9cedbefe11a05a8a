/** When the instances of a fleet read a topic of the store. */
export interface ReadTiming {
  /** Pause between two reads of the instance that reads for the fleet, in ms. */
  readPauseMs: number;
  /** Longest wait of a read for new records, in ms. */
  waitMs: number;
}

/**
 * Time in which the news of a read reach nearly every instance, in ms: a few
 * rounds of gossip. Who has heard nothing after it may read as well.
 */
const SPREAD_MS = 400;
/**
 * Further delay for each doubling of the rank, in ms. Longer than the spread to
 * most instances, so that a read of the first suppresses those of the rest.
 */
const DELAY_PER_DOUBLING_MS = 60;
/** Further delay for each rank, in ms; spreads the reads of a large fleet. */
const DELAY_PER_RANK_MS = 2;
/** Longest delay by rank, in ms; bounds the age of records at any instance. */
const MAX_RANK_DELAY_MS = 1_000;

/**
 * Longest time after the start of an epoch in which states of peers are awaited
 * instead of reading, in ms.
 */
const MAX_STATE_WAIT_MS = 1_500;

/** The newest read of a topic that an instance has heard of. */
export interface KnownRead {
  /** Instance that read. */
  reader: string;
  /** Monotonic time at which its result was current, in ms. */
  at: number;
}

/**
 * Decides when an instance reads a topic itself. The load pattern it answers:
 * every instance needs each record soon, and the store's calls are shared by
 * the whole fleet. One instance reads and tells the others; whoever hears of
 * nothing fresh for too long reads too, instances of low rank first, and the
 * first success silences the rest. So a reader that is dead, frozen or cut off
 * is replaced without talk, and an instance without peers reads for itself.
 */
export class ReadSchedule {
  /** The read whose reader this instance relies on. */
  private followed?: KnownRead;
  /** Whether this instance is among the first to read in the current epoch. */
  private isFirst = false;
  /** When the current epoch began, in monotonic ms. */
  private restartedAt = -Infinity;
  /** Until when the state of a peer is awaited, in monotonic ms. */
  private stateDueAt = -Infinity;

  constructor(
    private readonly name: string,
    private readonly timing: ReadTiming,
    /** Rank of an instance for this topic; 0 is the first to read. */
    private readonly rankOf: (instance: string) => number,
  ) {}

  /** Age up to which reads of another instance are relied on, in ms. */
  get toleranceMs(): number {
    const {readPauseMs, waitMs} = this.timing;
    return readPauseMs + waitMs + SPREAD_MS;
  }

  /** The instance that reads for the others, as far as known. */
  get reader(): string | undefined {
    return this.followed?.reader;
  }

  /**
   * Takes note of a read, by this instance or another. Of two readers, the one
   * of lower rank goes on.
   */
  noteRead(read: KnownRead, now: number): void {
    const {followed} = this;
    if (
      followed === undefined ||
      followed.reader === read.reader ||
      this.isStale(followed, now) ||
      this.rankOf(read.reader) < this.rankOf(followed.reader)
    ) {
      const isOlder =
        followed?.reader === read.reader && followed.at >= read.at;
      if (!isOlder) this.followed = read;
    }
  }

  /** Time until this instance reads, in ms, if the topic is `ageMs` old. */
  delayMs(ageMs: number): number {
    if (this.followed?.reader === this.name) {
      return this.timing.readPauseMs - ageMs;
    }
    return this.toleranceMs + this.rankDelayMs() - ageMs;
  }

  /**
   * Starts anew in a new epoch of the store, in which no read is known. Who read
   * in the old one reads first, and the instance of rank 0 in case it fails.
   */
  restart(now: number): void {
    const wasFirst = this.followed === undefined && this.isFirst;
    this.isFirst =
      wasFirst || this.reader === this.name || this.rankOf(this.name) === 0;
    this.followed = undefined;
    this.restartedAt = now;
    this.stateDueAt = -Infinity;
  }

  /** Takes note that a peer was asked for the state of the new epoch. */
  awaitState(now: number): void {
    this.stateDueAt = Math.min(
      now + SPREAD_MS,
      this.restartedAt + MAX_STATE_WAIT_MS,
    );
  }

  /** Time until this instance reads in a new epoch, in ms. */
  restartDelayMs(now: number): number {
    const delayMs = this.isFirst ? 0 : SPREAD_MS + this.rankDelayMs();
    return Math.max(this.restartedAt + delayMs, this.stateDueAt) - now;
  }

  private isStale({at}: KnownRead, now: number): boolean {
    return now - at > this.toleranceMs;
  }

  private rankDelayMs(): number {
    const rank = this.rankOf(this.name);
    return Math.min(
      MAX_RANK_DELAY_MS,
      DELAY_PER_DOUBLING_MS * Math.log2(1 + rank) + DELAY_PER_RANK_MS * rank,
    );
  }
}
