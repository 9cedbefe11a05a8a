import type {Subscription, Timer} from '../timer/index.js';

/** Instances that write at once; twice as many do so in each next turn. */
const FIRST_WRITERS = 3;
/**
 * Time between two turns, in ms: the pause between two reads of the topic, and
 * the time in which the news of a written record spread.
 */
const TURN_MS = 2_000;
/**
 * Time over which the first writers spread, in ms, twice as long in each next
 * turn, up to the whole turn.
 */
const FIRST_SPREAD_MS = 500;
/** Pause of the first writers after a failed write, in ms. */
const RETRY_DELAY_MS = 1_000;
/** Longest pause after a failed write, in ms. */
const MAX_RETRY_DELAY_MS = 30_000;
/** Jitter as a share of such a pause. */
const JITTER_SHARE = 0.5;

/** Dependencies of [[TurnWriter]]. */
export interface TurnWriterParts {
  timer: Timer;
  /** Returns a random number in [0, 1). */
  random(this: void): number;
  /** Rank of this instance among all, from 0. */
  rank(this: void): number;
  /** Whether the topic is known in the current epoch of the store. */
  isKnown(this: void): boolean;
  /** Whether the store lacks a record that this instance knows. */
  isMissing(this: void): boolean;
  /** Writes the records that the store lacks; returns whether all succeeded. */
  write(this: void): Promise<boolean>;
}

/**
 * Writes records that every instance knows to the store, in turns by rank, so
 * that the first writers spare the others the call.
 */
export class TurnWriter {
  private pending?: Subscription;
  private isWriting = false;
  private hasEnded = false;

  constructor(private readonly parts: TurnWriterParts) {}

  /** Writes what the store lacks, when it is this instance's turn. */
  writeSoon(): void {
    const turn = this.turn();
    const spreadMs = Math.min(FIRST_SPREAD_MS * 2 ** turn, TURN_MS);
    this.schedule(turn * TURN_MS + this.parts.random() * spreadMs);
  }

  /** Ends the writing. */
  end(): void {
    this.hasEnded = true;
    this.pending?.end();
  }

  /** Turn in which this instance writes, from 0. */
  private turn(): number {
    return Math.floor(Math.log2(this.parts.rank() / FIRST_WRITERS + 1));
  }

  private schedule(delayMs: number): void {
    if (this.isWriting || this.hasEnded) return;
    this.pending ??= this.parts.timer.after(delayMs, () => {
      this.pending = undefined;
      void this.write();
    });
  }

  private async write(): Promise<void> {
    const {isKnown, isMissing, write, random} = this.parts;
    // What the store lacks is known once the topic is.
    if (!isKnown()) return;
    this.isWriting = true;
    const isWritten = await write();
    this.isWriting = false;
    if (isWritten) {
      if (isMissing()) this.writeSoon();
      return;
    }
    const delayMs = Math.min(
      RETRY_DELAY_MS * 2 ** this.turn(),
      MAX_RETRY_DELAY_MS,
    );
    this.schedule(delayMs * (1 + JITTER_SHARE * random()));
  }
}
