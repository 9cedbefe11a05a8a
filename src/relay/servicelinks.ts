import type {Logger} from 'pino';
import {LogEvent} from '../telemetry/logevent.js';
import type {Subscription, Timer} from '../timer/index.js';
import {Isolation, Path, Reachability} from './reachability.js';
import type {RelayPeer} from './relaychoice.js';

/** Time between two trials of upstreams that peers reach, in ms. */
const TRIAL_PERIOD_MS = 500;
/**
 * Time without bytes from any upstream from which the silence of one may be due
 * to the own links, in ms.
 */
const QUIET_MS = 200;
/** Upstreams that are tried at a time. */
const TRIALS = 2;

/** Dependencies of [[ServiceLinks]]. */
export interface ServiceLinksParts {
  service: string;
  timer: Timer;
  logger: Logger;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Ids of the known upstreams of the service. */
  upstreams(): readonly string[];
  /** Whether an upstream answers on a new direct connection. */
  answersDirectly(upstream: string): Promise<boolean>;
  /** Called when this instance has found that it reaches none of them. */
  isolated(): void;
}

/**
 * The direct links of this instance to the upstreams of a service. Tries those
 * again that do not work, until they do.
 */
export class ServiceLinks {
  private readonly reachability = new Reachability();
  private trials?: Subscription;
  private areTrialsPending = false;
  /** When bytes last came over a direct connection, in monotonic ms. */
  private bytesAt = -Infinity;
  /** When the isolation was confirmed, in monotonic ms. */
  private isolatedAt?: number;

  constructor(private readonly parts: ServiceLinksParts) {}

  get isolation(): Isolation {
    return this.reachability.isolation;
  }

  /** Whether this instance reaches an upstream, as far as it knows. */
  reaches(upstream: string): boolean {
    return this.pathTo(upstream) === Path.Direct;
  }

  pathTo(upstream: string): Path {
    return this.reachability.pathTo(upstream, this.parts.timer.now());
  }

  /** Notes bytes that came over a direct connection. */
  noteBytes(): void {
    this.bytesAt = this.parts.timer.now();
    this.reachability.noteBytes();
  }

  /** Notes a direct connection that failed without an answer. */
  noteFailure(upstream: string): void {
    const {timer} = this.parts;
    const known = this.parts.upstreams().length;
    this.reachability.noteFailure(upstream, known, timer.now());
    this.tryUntrusted();
  }

  /** Notes an upstream that sends nothing on its connections. */
  async noteSilence(upstream: string): Promise<void> {
    const quietMs = this.parts.timer.now() - this.bytesAt;
    if (quietMs < QUIET_MS || !this.reaches(upstream)) return;
    await this.tryOut([upstream, ...this.sample(TRIALS - 1, [upstream])]);
  }

  noteConnected(upstream: string): void {
    this.reachability.noteConnected(upstream);
  }

  /** Notes that a peer has opened a connection to an upstream. */
  notePeerReached(upstream: string, peer: RelayPeer): void {
    this.reachability.notePeerReached(upstream);
    this.parts.logger.info(
      {
        event: LogEvent.Relayed,
        upstream,
        peer: peer.host,
        isolation: this.isolation,
      },
      'Opened a connection to the upstream through another instance.',
    );
    this.update();
  }

  /** Forgets upstreams that are no longer known. */
  retain(isKnown: (upstream: string) => boolean): void {
    this.reachability.retain(isKnown);
  }

  /** Number of upstreams that only peers reach, as far as known. */
  get relayedCount(): number {
    return this.reachability.relayedCount;
  }

  end(): void {
    this.trials?.end();
  }

  /** Tries upstreams directly, at once if the isolation is only suspected. */
  private tryUntrusted(): void {
    this.trials ??= this.parts.timer.every(TRIAL_PERIOD_MS, () => {
      const {untrusted} = this.reachability;
      if (untrusted.length > 0) {
        void this.tryOut(this.chooseTrials());
        return;
      }
      this.trials?.end();
      this.trials = undefined;
    });
    if (this.isolation !== Isolation.Suspected) return;
    void this.tryOut(this.chooseTrials());
  }

  private async tryOut(upstreams: readonly string[]): Promise<void> {
    if (this.areTrialsPending || upstreams.length === 0) return;
    this.areTrialsPending = true;
    const wasSuspected = this.isolation === Isolation.Suspected;
    const answers = await Promise.all(
      upstreams.map(upstream => this.tryOne(upstream)),
    );
    this.areTrialsPending = false;
    if (!answers.includes(true)) this.reachability.noteTrialsFailed();
    this.update();
    // Failures of these trials may have raised the suspicion.
    if (!wasSuspected) this.tryUntrusted();
  }

  private async tryOne(upstream: string): Promise<boolean> {
    const {timer} = this.parts;
    const answers = await this.parts.answersDirectly(upstream);
    if (answers) {
      this.reachability.noteReached(upstream);
      return true;
    }
    const known = this.parts.upstreams().length;
    this.reachability.noteFailure(upstream, known, timer.now());
    return false;
  }

  private chooseTrials(): string[] {
    const untrusted = this.reachability.untrusted;
    // Any upstream shows that the isolation is over.
    if (this.isolation === Isolation.Confirmed) return this.sample(TRIALS);
    return this.pick([...untrusted], TRIALS);
  }

  private sample(count: number, without: readonly string[] = []): string[] {
    const others = this.parts.upstreams().filter(id => !without.includes(id));
    return this.pick(others, count);
  }

  /** Removes up to `count` random ids from a list and returns them. */
  private pick(ids: string[], count: number): string[] {
    const chosen: string[] = [];
    while (chosen.length < count && ids.length > 0) {
      const index = Math.floor(this.parts.random() * ids.length);
      chosen.push(...ids.splice(index, 1));
    }
    return chosen;
  }

  /** Logs the begin and the end of an isolation, and tells of its begin. */
  private update(): void {
    const {timer, logger, service} = this.parts;
    const isIsolated = this.isolation === Isolation.Confirmed;
    if (isIsolated === (this.isolatedAt !== undefined)) return;
    if (isIsolated) {
      this.isolatedAt = timer.now();
      logger.warn(
        {event: LogEvent.Isolated, service, isolated: true},
        'No upstream of the service can be reached but through other instances.',
      );
      this.parts.isolated();
      return;
    }
    const ms = Math.round(timer.now() - (this.isolatedAt ?? 0));
    this.isolatedAt = undefined;
    logger.info(
      {event: LogEvent.Isolated, service, isolated: false, ms},
      'Upstreams of the service can be reached again.',
    );
  }
}
