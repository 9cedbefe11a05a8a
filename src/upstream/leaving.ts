import {z} from 'zod';
import type {Configuration} from '../config/index.js';
import type {Timer} from '../timer/index.js';

/** Who told that an upstream leaves or stays, besides the configuration. */
export enum NoticeSource {
  /** The upstream's own load report or refusal. */
  Upstream = 'upstream',
  Operator = 'operator',
  /** The platform's list of live and leaving instances. */
  List = 'list',
}

const noticeSchema = z.object({
  upstream: z.string(),
  source: z.enum(NoticeSource),
  leaving: z.boolean(),
  /** Orders notices of one source: wall-clock ms where the notice began. */
  version: z.number().int(),
});

/** What one source last told of one upstream. */
export type LeavingNotice = z.output<typeof noticeSchema>;

/** A listener for upstreams that start to leave, or return. */
export type LeavingListener = (upstream: string, leaving: boolean) => void;

/** A notice under the key that peers know it by. */
export interface KeyedNotice {
  key: string;
  value: LeavingNotice;
}

/**
 * How long a source must tell without a break that an upstream stays before
 * that is a return and not late news, in ms.
 */
const RETURN_AFTER_MS: Record<NoticeSource, number> = {
  [NoticeSource.Upstream]: 30_000,
  [NoticeSource.Operator]: 0,
  [NoticeSource.List]: 300_000,
};
/** How long a notice without effect is kept against late news, in ms. */
const NOTICE_RETENTION_MS = 24 * 3_600_000;

/** An upstream as the last configuration had it. */
interface Configured {
  url: string;
  active: boolean;
}

/**
 * The upstreams that are leaving, from the first source that tells so. Each
 * source has the last word on its own notices only, by their versions, so that
 * late news of one never takes back another's. A configuration that brings an
 * upstream back takes back all.
 */
export class LeavingRegister {
  private readonly notices = new Map<string, LeavingNotice>();
  /** Since when a source has told that a leaving upstream stays. */
  private readonly stayingSince = new Map<string, number>();
  /** Notices that this instance has had from the source itself. */
  private readonly witnessed = new Set<string>();
  private readonly listeners = new Set<LeavingListener>();
  private readonly publishers = new Set<(notice: KeyedNotice) => void>();
  private configured?: Map<string, Configured>;

  constructor(private readonly timer: Timer) {}

  /** Whether any source says that the upstream is leaving. */
  isLeaving(upstream: string): boolean {
    return this.sources(upstream).length > 0;
  }

  /** Which sources say that the upstream is leaving. */
  sources(upstream: string): NoticeSource[] {
    return Object.values(NoticeSource).filter(
      source => this.notices.get(keyOf(upstream, source))?.leaving === true,
    );
  }

  /** Subscribes to upstreams that start to leave, or return. */
  subscribe(listener: LeavingListener): void {
    this.listeners.add(listener);
  }

  /** Subscribes to notices that begin here, in order to spread them. */
  onNotice(publisher: (notice: KeyedNotice) => void): void {
    this.publishers.add(publisher);
  }

  /** Takes in what a source tells now. */
  observe(upstream: string, source: NoticeSource, leaving: boolean): void {
    const key = keyOf(upstream, source);
    const known = this.notices.get(key)?.leaving ?? false;
    if (leaving) {
      this.stayingSince.delete(key);
      this.witnessed.add(key);
      if (!known) this.issue(upstream, source, true);
      return;
    }
    if (known && this.hasReturned(key, source)) {
      this.issue(upstream, source, false);
    }
  }

  /** Carries out an operator's command, which also takes back other notices. */
  applyCommand(upstream: string, leaving: boolean): void {
    if (leaving) {
      this.issue(upstream, NoticeSource.Operator, true);
    } else {
      this.takeBack(upstream);
    }
  }

  /** Follows a configuration, which may bring upstreams back. */
  applyConfiguration(document: Configuration): void {
    const before = this.configured;
    this.configured = configuredIn(document);
    if (before === undefined) return;
    for (const [name, {url, active}] of this.configured) {
      const old = before.get(name);
      const returned = old?.active !== true || old.url !== url;
      if (active && returned) this.takeBack(name);
    }
    this.expire();
  }

  /** Takes in a peer's notice. Returns whether it told anything new. */
  merge(value: unknown): boolean {
    const parsed = noticeSchema.safeParse(value);
    return parsed.success && this.keep(parsed.data);
  }

  /** All notices, for an instance that joins. */
  all(): KeyedNotice[] {
    return [...this.notices].map(([key, value]) => ({key, value}));
  }

  private hasReturned(key: string, source: NoticeSource): boolean {
    if (!this.witnessed.has(key)) return false;
    const now = this.timer.now();
    const since = this.stayingSince.get(key) ?? now;
    this.stayingSince.set(key, since);
    return now - since >= RETURN_AFTER_MS[source];
  }

  private takeBack(upstream: string): void {
    for (const source of this.sources(upstream)) {
      this.issue(upstream, source, false);
    }
  }

  private issue(
    upstream: string,
    source: NoticeSource,
    leaving: boolean,
  ): void {
    const key = keyOf(upstream, source);
    const known = this.notices.get(key)?.version ?? 0;
    const version = Math.max(this.timer.wallNow(), known + 1);
    const notice = {upstream, source, leaving, version};
    this.keep(notice);
    for (const publish of this.publishers) publish({key, value: notice});
  }

  private keep(notice: LeavingNotice): boolean {
    const {upstream, source, version, leaving} = notice;
    const key = keyOf(upstream, source);
    const known = this.notices.get(key);
    if (known !== undefined && known.version >= version) return false;
    const before = this.isLeaving(upstream);
    this.notices.set(key, notice);
    if (!leaving) {
      this.stayingSince.delete(key);
      this.witnessed.delete(key);
    }
    const after = this.isLeaving(upstream);
    if (before === after) return true;
    for (const listener of this.listeners) listener(upstream, after);
    return true;
  }

  private expire(): void {
    const limit = this.timer.wallNow() - NOTICE_RETENTION_MS;
    for (const [key, notice] of this.notices) {
      const inUse =
        notice.leaving && this.configured?.has(notice.upstream) === true;
      if (!inUse && notice.version < limit) this.notices.delete(key);
    }
  }
}

function keyOf(upstream: string, source: NoticeSource): string {
  return `${upstream} ${source}`;
}

function configuredIn(document: Configuration): Map<string, Configured> {
  const configured = new Map<string, Configured>();
  for (const pool of document.pools) {
    for (const {name, url} of pool.upstreams) {
      const active =
        pool.contract.state === 'active' && !pool.leaving.includes(name);
      configured.set(name, {url, active});
    }
  }
  return configured;
}
