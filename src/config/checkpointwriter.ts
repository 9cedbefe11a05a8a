import type {Logger} from 'pino';
import type {Log} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import type {ConfigurationFollower} from './follower.js';
import type {ConfigurationPeers} from './peers.js';
import {
  CHECKPOINT_STREAM,
  CONFIGURATION_STREAM,
  type Checkpoint,
} from './record.js';

/** Time between checks whether a checkpoint is due, in ms. */
const CHECK_PERIOD_MS = 10_000;
/** Checkpoints written within one retention period of the log. */
const CHECKPOINTS_PER_RETENTION = 4;
/**
 * Records after a checkpoint that make the next one due, which bounds how many
 * a new instance has to replay.
 */
const MAX_RECORDS_SINCE_CHECKPOINT = 200;
/** Delay of the write for each rank, in ms; see [[CheckpointWriter]]. */
const DELAY_PER_RANK_MS = 5_000;

/** Dependencies of [[CheckpointWriter]]. */
export interface CheckpointWriterParts {
  log: Log;
  follower: ConfigurationFollower;
  peers: ConfigurationPeers;
  timer: Timer;
  logger: Logger;
  /** How long the log keeps a record, in ms. */
  retentionMs: number;
}

/**
 * Writes checkpoints of the document in force to the log before the log drops
 * the submissions that it was built from. Each live instance waits for a time
 * in proportion to its rank, which changes with every checkpoint, and skips its
 * write if it has read another instance's marker by then. Two checkpoints of
 * the same version are harmless.
 */
export class CheckpointWriter {
  private readonly stopping = new AbortController();
  private task?: Promise<void>;

  constructor(private readonly parts: CheckpointWriterParts) {}

  /** Starts the periodic checks. Further calls have no effect. */
  start(): void {
    this.task ??= this.run();
  }

  /** Stops the checks; resolves once a write in progress has ended. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  /** Whether the newest checkpoint is too old or too many records behind. */
  isDue(): boolean {
    const {follower, timer, retentionMs} = this.parts;
    if (follower.current() === undefined) return false;
    const newest = follower.newestCheckpoint();
    if (newest === undefined) return true;
    const age = timer.wallNow() - newest.time;
    return (
      age > retentionMs / CHECKPOINTS_PER_RETENTION ||
      follower.lastReadOffset - newest.upTo > MAX_RECORDS_SINCE_CHECKPOINT
    );
  }

  private async run(): Promise<void> {
    const {timer} = this.parts;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await timer.sleep(CHECK_PERIOD_MS, signal);
      if (!this.isDue()) continue;
      await timer.sleep(this.ownRank() * DELAY_PER_RANK_MS, signal);
      if (!signal.aborted && this.isDue()) await this.writeCheckpoint();
    }
  }

  private ownRank(): number {
    const {follower, peers} = this.parts;
    const newest = follower.newestCheckpoint()?.upTo ?? -1;
    return peers.rank(`checkpoint ${newest}`);
  }

  private async writeCheckpoint(): Promise<void> {
    const {log, follower, logger} = this.parts;
    await follower.readToEnd();
    const current = follower.current();
    if (current === undefined || !this.isDue()) return;
    const {version, document} = current;
    const {lastReadOffset: upTo} = follower;
    const checkpoint: Checkpoint = {upTo, version, document};
    const written = await log.append(CHECKPOINT_STREAM, checkpoint);
    if (written.isErr()) {
      logger.warn({failure: written.error}, 'Checkpoint not written.');
      return;
    }
    const marker = {type: 'checkpoint', upTo, version};
    await log.append(CONFIGURATION_STREAM, marker);
    await follower.readToEnd();
    logger.info({version, upTo}, 'Checkpoint written.');
  }
}
