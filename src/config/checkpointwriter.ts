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

/** Time between two looks at the age of the newest checkpoint, in ms. */
const LOOK_PERIOD_MS = 10_000;
/** Checkpoints written within one retention period of the log. */
const CHECKPOINTS_PER_RETENTION = 4;
/** Records after which a newcomer should not have to replay more. */
const RECORDS_LIMIT = 200;
/** Time an instance leaves to the one ranked before it, in ms. */
const TURN_MS = 5_000;

/** What a [[Renewal]] works with. */
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
 * Writes whole documents to the log before it drops the submissions they came
 * from. The live instances take turns in an order that changes with every
 * checkpoint; the marker of one instance's checkpoint ends the turns of the
 * others. Two checkpoints of the same state do no harm.
 */
export class CheckpointWriter {
  private readonly stopping = new AbortController();
  private task?: Promise<void>;

  constructor(private readonly parts: CheckpointWriterParts) {}

  start(): void {
    this.task ??= this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  /** Whether a checkpoint is due. */
  isDue(): boolean {
    const {follower, timer, retentionMs} = this.parts;
    if (follower.current() === undefined) return false;
    const newest = follower.newestCheckpoint();
    if (newest === undefined) return true;
    const age = timer.wallNow() - newest.time;
    return (
      age > retentionMs / CHECKPOINTS_PER_RETENTION ||
      follower.lastReadOffset - newest.upTo > RECORDS_LIMIT
    );
  }

  private async run(): Promise<void> {
    const {timer} = this.parts;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await timer.sleep(LOOK_PERIOD_MS, signal);
      if (!this.isDue()) continue;
      await timer.sleep(this.turn() * TURN_MS, signal);
      if (!signal.aborted && this.isDue()) await this.write();
    }
  }

  private turn(): number {
    const {follower, peers} = this.parts;
    const newest = follower.newestCheckpoint()?.upTo ?? -1;
    return peers.rank(`checkpoint ${newest}`);
  }

  private async write(): Promise<void> {
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
