import type {Logger} from 'pino';
import type {Log, LogRecord} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import {
  checkAcceptedDocument,
  ConfigurationStateMachine,
  type AcceptedConfiguration,
  type Revision,
  type Verdict,
} from './statemachine.js';
import {noPeers, type ConfigurationPeers} from './peers.js';
import {findReplayStart, type ReplayStartFailure} from './replaystart.js';
import {CONFIGURATION_STREAM, configurationRecordSchema} from './record.js';

/**
 * Number of instances that read the log by long polling; the others learn of
 * new versions from their peers.
 */
const LONG_POLLING_INSTANCES = 9;
const LONG_POLL_WAIT_MS = 1_500;
/** Mean time between reads of an instance without long polling, in ms. */
const MEAN_POLL_PERIOD_MS = 20_000;
/**
 * Once peers announce a new version, instances read the log at random times
 * within this period times the number of live instances, in ms.
 */
const READ_SPREAD_PER_INSTANCE_MS = 3;
const MIN_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 15_000;
const MAX_KEPT_VERDICTS = 1_000;

/** Called with each configuration that comes into force. */
export type ConfigurationListener = (accepted: AcceptedConfiguration) => void;

/** The newest checkpoint whose marker was read in the stream. */
export interface KnownCheckpoint {
  /** Offset of the last record that the checkpoint covers. */
  upTo: number;
  /**
   * When the log stored the marker, in wall-clock ms by the log's clock; for
   * the checkpoint that replay started from, when it was read.
   */
  time: number;
}

/**
 * Follows the configuration stream of the log and calls its listeners with
 * every configuration that comes into force, in version order. No
 * configuration is in force until it is known to be current: the stream was
 * read to its end and no peer has a newer version or, while the log can't be
 * read, it is the newest version of the peers. After that, versions only
 * increase.
 */
export class ConfigurationFollower {
  private readonly state = new ConfigurationStateMachine();
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly verdicts = new Map<string, Verdict>();
  private readonly stopping = new AbortController();
  /** Offset of the next record to read. */
  private nextOffset = 0;
  /** Whether the offset to start reading from was found. */
  private hasStart = false;
  /** Whether a configuration has been known to be current. */
  private isUpToDate = false;
  /** Whether the stream was read to its end at least once. */
  private hasReachedEnd = false;
  /** Version that listeners were last notified of. */
  private lastNotified = 0;
  /** Consecutive rounds that did not reach the end of the stream. */
  private failedRounds = 0;
  /** Whether a call of [[catchUpTo]] is in progress. */
  private syncing = false;
  private checkpoint?: KnownCheckpoint;
  /** Version whose later revisions are wanted. */
  private historySince = Infinity;
  private task?: Promise<void>;

  constructor(
    private readonly log: Log,
    private readonly timer: Timer,
    private readonly logger: Logger,
    private readonly peers: ConfigurationPeers = noPeers,
    private readonly random: () => number = Math.random,
  ) {}

  /** The configuration in force, or undefined until one is known current. */
  current(): AcceptedConfiguration | undefined {
    return this.isUpToDate ? this.state.current() : undefined;
  }

  /** Whether a configuration has come into force on this instance. */
  isCurrent(): boolean {
    return this.isUpToDate;
  }

  /** Offset of the last record read; -1 before the first. */
  get lastReadOffset(): number {
    return this.nextOffset - 1;
  }

  /** The newest checkpoint known from the stream, if there is one. */
  newestCheckpoint(): KnownCheckpoint | undefined {
    return this.checkpoint;
  }

  /** Subscribes to configurations that come into force from now on. */
  subscribe(listener: ConfigurationListener): void {
    this.listeners.add(listener);
  }

  /** The first verdict on a submission, if this instance has read it. */
  verdictOn(submission: string): Verdict | undefined {
    return this.verdicts.get(submission);
  }

  /** See [[ConfigurationStateMachine.revisionsSince]]. */
  revisionsSince(version: number): Revision[] | undefined {
    return this.state.revisionsSince(version);
  }

  /** Offset of the next record to read. */
  position(): number {
    return this.nextOffset;
  }

  /**
   * Starts to follow the stream. Further calls have no effect. With
   * `historySince`, [[revisionsSince]] that version works as far as the log
   * still has the submissions, also those before its newest checkpoint.
   */
  start(historySince = Infinity): void {
    this.historySince = historySince;
    this.task ??= this.follow();
  }

  /** Stops following; resolves once the current round has ended. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  /**
   * Reads a version that a peer has announced, first from the log and else
   * from peers, after a random delay that spreads the reads of the fleet.
   */
  async catchUpTo(target: number): Promise<void> {
    if (this.syncing || !this.hasStart || target <= this.state.version) return;
    this.syncing = true;
    const spread = READ_SPREAD_PER_INSTANCE_MS * this.peers.size();
    await this.timer.sleep(this.random() * spread, this.stopping.signal);
    if (target > this.state.version) await this.readRecords(0);
    if (target > this.state.version) await this.fetchFromPeers();
    this.syncing = false;
  }

  /** Reads the stream to its end. Returns whether the end was reached. */
  async readToEnd(): Promise<boolean> {
    return this.hasStart && (await this.readRecords(0));
  }

  private async follow(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const reachedEnd = await this.runRound();
      this.failedRounds = reachedEnd ? 0 : this.failedRounds + 1;
      await this.timer.sleep(this.delayUntilNextRound(), signal);
    }
  }

  private async runRound(): Promise<boolean> {
    if (!this.hasStart && !(await this.findStartOffset())) return false;
    const longPoll = this.hasReachedEnd && this.usesLongPolling();
    const reachedEnd = await this.readRecords(longPoll ? LONG_POLL_WAIT_MS : 0);
    const behind = this.peers.newestVersion() > this.state.version;
    if (behind || !(reachedEnd || this.isUpToDate)) await this.fetchFromPeers();
    return reachedEnd;
  }

  private usesLongPolling(): boolean {
    return this.peers.rank('watch') < LONG_POLLING_INSTANCES;
  }

  private delayUntilNextRound(): number {
    const factor = 0.5 + this.random();
    if (this.failedRounds > 0) {
      const delay = MIN_RETRY_DELAY_MS * 2 ** (this.failedRounds - 1);
      return Math.min(MAX_RETRY_DELAY_MS, delay) * factor;
    }
    if (!this.isUpToDate) return MIN_RETRY_DELAY_MS * factor;
    return this.usesLongPolling() ? 0 : MEAN_POLL_PERIOD_MS * factor;
  }

  /**
   * Finds the offset to start reading from: after the newest checkpoint in the
   * log or, if the log can't be read, after the configuration of a peer.
   * Returns whether the log gave it.
   */
  private async findStartOffset(): Promise<boolean> {
    const start = await findReplayStart(this.log, this.historySince);
    if (start.isErr()) {
      this.warnOfFailedRead(start.error);
      await this.fetchFromPeers();
      return false;
    }
    this.hasStart = true;
    const checkpoint = start.value;
    if (checkpoint === undefined) return true;
    const checked = checkAcceptedDocument(
      checkpoint.version,
      checkpoint.document,
    );
    if (checked.isErr()) {
      this.logger.error(
        {failure: checked.error},
        'Checkpoint holds an invalid document.',
      );
      return true;
    }
    this.nextOffset = Math.max(this.nextOffset, checkpoint.upTo + 1);
    this.state.install(checked.value);
    this.checkpoint = {upTo: checkpoint.upTo, time: this.timer.wallNow()};
    return true;
  }

  private async readRecords(waitMs: number): Promise<boolean> {
    for (;;) {
      const from = this.nextOffset;
      const page = await this.log.read(CONFIGURATION_STREAM, {from, waitMs});
      if (page.isErr()) {
        this.warnOfFailedRead(page.error);
        return false;
      }
      const {records, first, next} = page.value;
      if (first > this.nextOffset) {
        this.logger.warn(
          {first, next: this.nextOffset},
          'Records are missing from the stream.',
        );
        this.hasStart = false;
        return false;
      }
      for (const record of records) this.applyRecord(record);
      if (this.nextOffset === next) break;
      // The replica is stale, or it reports an end but returns no records.
      if (this.nextOffset > next || this.nextOffset === from) return false;
    }
    this.hasReachedEnd = true;
    this.markUpToDate();
    return true;
  }

  private applyRecord(record: LogRecord): void {
    if (record.offset !== this.nextOffset) return;
    this.nextOffset++;
    const parsed = configurationRecordSchema.safeParse(record.value);
    if (!parsed.success) {
      this.logger.warn({offset: record.offset}, 'Record is malformed.');
      return;
    }
    if (parsed.data.type === 'checkpoint') {
      this.checkpoint = {upTo: parsed.data.upTo, time: record.time};
      return;
    }
    const verdict = this.state.submit(record.offset, parsed.data);
    this.recordVerdict(verdict);
    if (verdict.type === 'accepted') this.notifyListeners();
    else this.logger.info({verdict}, 'Submission refused.');
  }

  private recordVerdict(verdict: Verdict): void {
    if (this.verdicts.has(verdict.id)) return;
    this.verdicts.set(verdict.id, verdict);
    if (this.verdicts.size <= MAX_KEPT_VERDICTS) return;
    const oldest = this.verdicts.keys().next().value;
    if (oldest !== undefined) this.verdicts.delete(oldest);
  }

  /** Fetches a newer configuration from a peer when the log lacks it. */
  private async fetchFromPeers(): Promise<void> {
    const {answered, newer} = await this.peers.fetch(this.state.version);
    if (newer === undefined) {
      if (answered > 0) this.markUpToDate();
      return;
    }
    const {version, document, upTo} = newer;
    if (!this.state.install({version, document})) return;
    this.logger.info({version}, 'Took the configuration from a peer.');
    this.nextOffset = Math.max(this.nextOffset, upTo + 1);
    this.hasStart = true;
    this.markUpToDate();
    this.notifyListeners();
  }

  /** Marks the configuration as current unless a peer has a newer one. */
  private markUpToDate(): void {
    if (this.isUpToDate || this.state.version === 0) return;
    if (this.peers.newestVersion() > this.state.version) return;
    this.isUpToDate = true;
    this.notifyListeners();
  }

  private notifyListeners(): void {
    const accepted = this.current();
    if (accepted === undefined || accepted.version <= this.lastNotified) return;
    this.lastNotified = accepted.version;
    const {version} = accepted;
    this.logger.info({version}, 'Configuration in force.');
    for (const listener of this.listeners) listener(accepted);
  }

  private warnOfFailedRead(failure: ReplayStartFailure): void {
    if (this.failedRounds > 0) return;
    this.logger.warn({failure}, 'Log not readable.');
  }
}
