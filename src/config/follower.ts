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

/** Instances that wait for news at the log; the others hear from peers. */
const WATCHERS = 9;
const WATCH_WAIT_MS = 1_500;
/** Mean time between two reads of an instance that does not watch, in ms. */
const POLL_PERIOD_MS = 20_000;
/** Time over which readers spread after news, for each instance, in ms. */
const SPREAD_PER_INSTANCE_MS = 3;
const RETRY_DELAY_MS = 250;
const RETRY_DELAY_LIMIT_MS = 15_000;
const VERDICT_LIMIT = 1_000;

/** A listener for configurations as they come into force. */
export type ConfigurationListener = (accepted: AcceptedConfiguration) => void;

/** The newest checkpoint that the stream tells of. */
export interface KnownCheckpoint {
  upTo: number;
  /** When the log took the marker, wall-clock ms by the log's clock. */
  time: number;
}

/**
 * Follows the configuration stream of the log, and tells its listeners of
 * every configuration that comes into force, in version order. It holds no
 * configuration in force until it is known to be current: read to the end of
 * the log and not behind any peer, or the newest of the peers while the log is
 * out. After that it only moves forward.
 */
export class ConfigurationFollower {
  private readonly ledger = new ConfigurationStateMachine();
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly verdicts = new Map<string, Verdict>();
  private readonly stopping = new AbortController();
  private next = 0;
  private placed = false;
  private settled = false;
  private reachedEnd = false;
  private announced = 0;
  private failures = 0;
  private waking = false;
  private checkpoint?: KnownCheckpoint;
  private task?: Promise<void>;

  constructor(
    private readonly log: Log,
    private readonly timer: Timer,
    private readonly logger: Logger,
    private readonly peers: ConfigurationPeers = noPeers,
    private readonly random: () => number = Math.random,
  ) {}

  /** The configuration in force here, or undefined before it is current. */
  current(): AcceptedConfiguration | undefined {
    return this.settled ? this.ledger.current() : undefined;
  }

  /** Whether the instance has read the log or its peers to the end once. */
  isCurrent(): boolean {
    return this.settled;
  }

  /** Offset up to which the stream was read, inclusive; -1 before the first. */
  get lastReadOffset(): number {
    return this.next - 1;
  }

  /** The newest checkpoint read of in the stream. */
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

  /** Accepted submissions since a version; see [[Ledger.since]]. */
  revisionsSince(version: number): Revision[] | undefined {
    return this.ledger.revisionsSince(version);
  }

  /** Offset of the next record to read. */
  position(): number {
    return this.next;
  }

  start(): void {
    this.task ??= this.follow();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  /** Reads on at once because a peer has a newer version. */
  async catchUpTo(version: number): Promise<void> {
    if (this.waking || !this.placed || version <= this.ledger.version) return;
    this.waking = true;
    const spread = SPREAD_PER_INSTANCE_MS * this.peers.size();
    await this.timer.sleep(this.random() * spread, this.stopping.signal);
    if (version > this.ledger.version) await this.read(0);
    if (version > this.ledger.version) await this.takeFromPeers();
    this.waking = false;
  }

  /** Reads to the end of the log. Returns whether the end was reached. */
  async readToEnd(): Promise<boolean> {
    return this.placed && (await this.read(0));
  }

  private async follow(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const reached = await this.round();
      this.failures = reached ? 0 : this.failures + 1;
      await this.timer.sleep(this.pause(), signal);
    }
  }

  private async round(): Promise<boolean> {
    if (!this.placed && !(await this.findPlace())) return false;
    const waits = this.reachedEnd && this.watches();
    const reached = await this.read(waits ? WATCH_WAIT_MS : 0);
    const behind = this.peers.newestVersion() > this.ledger.version;
    if (behind || !(reached || this.settled)) await this.takeFromPeers();
    return reached;
  }

  private watches(): boolean {
    return this.peers.rank('watch') < WATCHERS;
  }

  private pause(): number {
    const factor = 0.5 + this.random();
    if (this.failures > 0) {
      const delay = RETRY_DELAY_MS * 2 ** (this.failures - 1);
      return Math.min(RETRY_DELAY_LIMIT_MS, delay) * factor;
    }
    if (!this.settled) return RETRY_DELAY_MS * factor;
    return this.watches() ? 0 : POLL_PERIOD_MS * factor;
  }

  /** Finds where to take up the stream, at the log or else at a peer. */
  private async findPlace(): Promise<boolean> {
    const start = await findReplayStart(this.log);
    if (start.isErr()) {
      this.warn(start.error);
      await this.takeFromPeers();
      return false;
    }
    this.placed = true;
    const checkpoint = start.value;
    if (checkpoint === undefined) return true;
    const checked = checkAcceptedDocument(
      checkpoint.version,
      checkpoint.document,
    );
    if (checked.isErr()) {
      this.logger.error({failure: checked.error}, 'Checkpoint is invalid.');
      return true;
    }
    this.next = Math.max(this.next, checkpoint.upTo + 1);
    this.ledger.install(checked.value);
    this.checkpoint = {upTo: checkpoint.upTo, time: this.timer.wallNow()};
    return true;
  }

  private async read(waitMs: number): Promise<boolean> {
    for (;;) {
      const from = this.next;
      const page = await this.log.read(CONFIGURATION_STREAM, {from, waitMs});
      if (page.isErr()) {
        this.warn(page.error);
        return false;
      }
      const {records, first, next} = page.value;
      if (first > this.next) {
        this.logger.warn({first, next: this.next}, 'Stream has a gap.');
        this.placed = false;
        return false;
      }
      for (const record of records) this.apply(record);
      if (this.next === next) break;
      // A replica that is behind, or one that tells of records it lacks.
      if (this.next > next || this.next === from) return false;
    }
    this.reachedEnd = true;
    this.settle();
    return true;
  }

  private apply(record: LogRecord): void {
    if (record.offset !== this.next) return;
    this.next++;
    const parsed = configurationRecordSchema.safeParse(record.value);
    if (!parsed.success) {
      this.logger.warn({offset: record.offset}, 'Record is malformed.');
      return;
    }
    if (parsed.data.type === 'checkpoint') {
      this.checkpoint = {upTo: parsed.data.upTo, time: record.time};
      return;
    }
    const verdict = this.ledger.submit(record.offset, parsed.data);
    this.keepVerdict(verdict);
    if (verdict.type === 'accepted') this.announce();
    else this.logger.info({verdict}, 'Submission refused.');
  }

  private keepVerdict(verdict: Verdict): void {
    if (this.verdicts.has(verdict.id)) return;
    this.verdicts.set(verdict.id, verdict);
    if (this.verdicts.size <= VERDICT_LIMIT) return;
    const oldest = this.verdicts.keys().next().value;
    if (oldest !== undefined) this.verdicts.delete(oldest);
  }

  /** Takes a newer configuration from a peer while the log doesn't have it. */
  private async takeFromPeers(): Promise<void> {
    const {answered, newer} = await this.peers.fetch(this.ledger.version);
    if (newer === undefined) {
      if (answered > 0) this.settle();
      return;
    }
    const {version, document, upTo} = newer;
    if (!this.ledger.install({version, document})) return;
    this.logger.info({version}, 'Took the configuration from a peer.');
    this.next = Math.max(this.next, upTo + 1);
    this.placed = true;
    this.settle();
    this.announce();
  }

  /** Takes what is known for current, unless a peer is known to be ahead. */
  private settle(): void {
    if (this.settled || this.ledger.version === 0) return;
    if (this.peers.newestVersion() > this.ledger.version) return;
    this.settled = true;
    this.announce();
  }

  private announce(): void {
    const accepted = this.current();
    if (accepted === undefined || accepted.version <= this.announced) return;
    this.announced = accepted.version;
    const {version} = accepted;
    this.logger.info({version}, 'Configuration in force.');
    for (const listener of this.listeners) listener(accepted);
  }

  private warn(failure: ReplayStartFailure): void {
    if (this.failures > 0) return;
    this.logger.warn({failure}, 'Log not readable.');
  }
}
