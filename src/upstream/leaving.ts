import {z} from 'zod';
import type {Configuration} from '../config/index.js';
import type {Timer} from '../timer/index.js';

/** Sources, besides the configuration, that say whether an upstream leaves. */
export enum NoticeSource {
  /** The upstream's own load report. */
  Upstream = 'upstream',
  Operator = 'operator',
  /** The platform's list of live and leaving instances. */
  List = 'list',
}

const noticeSchema = z.object({
  upstream: z.string(),
  source: z.enum(NoticeSource),
  leaving: z.boolean(),
  /**
   * Orders the notices of one source: wall-clock time in ms of the instance
   * that issued the notice, or the previous version plus 1 if that is later.
   */
  version: z.number().int(),
});

/** The latest statement of one source on whether one upstream is leaving. */
export type LeavingNotice = z.output<typeof noticeSchema>;

/** Called when an upstream starts to leave (true) or returns (false). */
export type LeavingListener = (upstream: string, leaving: boolean) => void;

/** A notice with its key in the gossip exchange. */
export interface KeyedNotice {
  key: string;
  value: LeavingNotice;
}

/**
 * How long a source must report without interruption that a leaving upstream
 * stays before the upstream counts as returned, in ms. Shorter reversals may be
 * due to outdated information.
 */
const MIN_STAY_MS: Record<NoticeSource, number> = {
  [NoticeSource.Upstream]: 30_000,
  [NoticeSource.Operator]: 0,
  [NoticeSource.List]: 300_000,
};
/**
 * How long a notice without effect is kept, in ms, so that outdated notices
 * which peers still gossip are rejected.
 */
const NOTICE_RETENTION_MS = 24 * 3_600_000;

/** State of an upstream in the configuration applied last. */
interface ConfiguredUpstream {
  url: string;
  active: boolean;
}

/**
 * Tracks which upstreams are leaving. An upstream is leaving as long as at
 * least one source says so. The latest version of a source's notices wins, and
 * a source can only withdraw its own notice, so that outdated information from
 * one source never cancels the notice of another. An operator's command or a
 * configuration that brings an upstream back withdraws the notices of all
 * sources.
 */
export class LeavingRegister {
  private readonly notices = new Map<string, LeavingNotice>();
  /** By notice key: monotonic ms since when the source reports a stay. */
  private readonly stayingSince = new Map<string, number>();
  /**
   * Keys of notices that this instance received from the source itself rather
   * than from a peer. Only these can be withdrawn by this instance's
   * observations.
   */
  private readonly observedLocally = new Set<string>();
  private readonly listeners = new Set<LeavingListener>();
  private readonly noticeListeners = new Set<(notice: KeyedNotice) => void>();
  private configuredUpstreams?: Map<string, ConfiguredUpstream>;

  constructor(private readonly timer: Timer) {}

  /** Whether at least one source says that the upstream is leaving. */
  isLeaving(upstream: string): boolean {
    return this.sources(upstream).length > 0;
  }

  /** Returns the sources that say that the upstream is leaving. */
  sources(upstream: string): NoticeSource[] {
    return Object.values(NoticeSource).filter(
      source => this.notices.get(noticeKey(upstream, source))?.leaving === true,
    );
  }

  /** Subscribes to upstreams that start to leave or return. */
  subscribe(listener: LeavingListener): void {
    this.listeners.add(listener);
  }

  /** Subscribes to notices issued by this instance, for gossip to peers. */
  onNotice(listener: (notice: KeyedNotice) => void): void {
    this.noticeListeners.add(listener);
  }

  /** Records what a source currently says about an upstream. */
  observe(upstream: string, source: NoticeSource, leaving: boolean): void {
    const key = noticeKey(upstream, source);
    const wasLeaving = this.notices.get(key)?.leaving ?? false;
    if (leaving) {
      this.stayingSince.delete(key);
      this.observedLocally.add(key);
      if (!wasLeaving) this.publish(upstream, source, true);
      return;
    }
    if (wasLeaving && this.hasStayedLongEnough(key, source)) {
      this.publish(upstream, source, false);
    }
  }

  /**
   * Applies an operator's command. A command that brings the upstream back also
   * withdraws the notices of all other sources.
   */
  applyCommand(upstream: string, leaving: boolean): void {
    if (leaving) {
      this.publish(upstream, NoticeSource.Operator, true);
    } else {
      this.withdrawNotices(upstream);
    }
  }

  /**
   * Applies a configuration. If it adds or reactivates an upstream, or changes
   * its URL, the notices about that upstream are withdrawn.
   */
  applyConfiguration(document: Configuration): void {
    const previous = this.configuredUpstreams;
    this.configuredUpstreams = upstreamsOf(document);
    if (previous === undefined) return;
    for (const [name, {url, active}] of this.configuredUpstreams) {
      const earlier = previous.get(name);
      const returned = earlier?.active !== true || earlier.url !== url;
      if (active && returned) this.withdrawNotices(name);
    }
    this.removeExpired();
  }

  /** Merges a peer's notice. Returns whether it was valid and newer. */
  merge(value: unknown): boolean {
    const parsed = noticeSchema.safeParse(value);
    return parsed.success && this.accept(parsed.data);
  }

  /** Returns all notices, for synchronization with a joining instance. */
  all(): KeyedNotice[] {
    return [...this.notices].map(([key, value]) => ({key, value}));
  }

  /** Records a report of a stay; returns whether it has lasted long enough. */
  private hasStayedLongEnough(key: string, source: NoticeSource): boolean {
    if (!this.observedLocally.has(key)) return false;
    const now = this.timer.now();
    const since = this.stayingSince.get(key) ?? now;
    this.stayingSince.set(key, since);
    return now - since >= MIN_STAY_MS[source];
  }

  private withdrawNotices(upstream: string): void {
    for (const source of this.sources(upstream)) {
      this.publish(upstream, source, false);
    }
  }

  /** Stores a new version of a notice and passes it to the listeners. */
  private publish(
    upstream: string,
    source: NoticeSource,
    leaving: boolean,
  ): void {
    const key = noticeKey(upstream, source);
    const knownVersion = this.notices.get(key)?.version ?? 0;
    const version = Math.max(this.timer.wallNow(), knownVersion + 1);
    const notice = {upstream, source, leaving, version};
    this.accept(notice);
    for (const listener of this.noticeListeners) listener({key, value: notice});
  }

  /** Stores a notice if it is newer than the stored one of its source. */
  private accept(notice: LeavingNotice): boolean {
    const {upstream, source, version, leaving} = notice;
    const key = noticeKey(upstream, source);
    const known = this.notices.get(key);
    if (known !== undefined && known.version >= version) return false;
    const wasLeaving = this.isLeaving(upstream);
    this.notices.set(key, notice);
    if (!leaving) {
      this.stayingSince.delete(key);
      this.observedLocally.delete(key);
    }
    const isLeaving = this.isLeaving(upstream);
    if (wasLeaving === isLeaving) return true;
    for (const listener of this.listeners) listener(upstream, isLeaving);
    return true;
  }

  private removeExpired(): void {
    const oldestKept = this.timer.wallNow() - NOTICE_RETENTION_MS;
    for (const [key, notice] of this.notices) {
      const inUse =
        notice.leaving &&
        this.configuredUpstreams?.has(notice.upstream) === true;
      if (!inUse && notice.version < oldestKept) this.notices.delete(key);
    }
  }
}

function noticeKey(upstream: string, source: NoticeSource): string {
  return `${upstream} ${source}`;
}

function upstreamsOf(document: Configuration): Map<string, ConfiguredUpstream> {
  const configured = new Map<string, ConfiguredUpstream>();
  for (const pool of document.pools) {
    for (const {name, url} of pool.upstreams) {
      const active =
        pool.contract.state === 'active' && !pool.leaving.includes(name);
      configured.set(name, {url, active});
    }
  }
  return configured;
}
