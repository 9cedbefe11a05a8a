import type {Subscription, Timer} from '../timer/index.js';
import {CacheEventReader} from './cacheeventreader.js';
import {ByteBudget} from './bytebudget.js';
import {fetchLoad} from './report.js';
import type {Upstream} from './upstream.js';

/** Bytes per second spent on load reports, over all upstreams. */
const LOAD_BYTES_PER_SECOND = 1_200;
/** Bytes per second spent on cache events, over all upstreams. */
const EVENT_BYTES_PER_SECOND = 500;
const TICK_MS = 50;
/** Reports of upstreams without work are read this much less often. */
const IDLE_WEIGHT = 0.25;
const FETCHES_LIMIT = 4;

interface Watch {
  upstream: Upstream;
  cache: CacheEventReader;
  loadAt: number;
  eventsAt: number;
  busy: boolean;
}

/**
 * Reads load reports and cache events of the upstreams this instance works
 * with, within a budget of bytes: those whose report matters most first.
 */
export class ReportPoller {
  private watches = new Map<Upstream, Watch>();
  private fetches = 0;
  private readonly loadPace: ByteBudget;
  private readonly eventPace: ByteBudget;
  private tick?: Subscription;

  /** `members` tells the upstreams to follow; `onReport` hears of reports. */
  constructor(
    private readonly members: () => Iterable<Upstream>,
    private readonly timer: Timer,
    private readonly onReport: (upstream: Upstream) => void,
  ) {
    this.loadPace = new ByteBudget(LOAD_BYTES_PER_SECOND, timer.now());
    this.eventPace = new ByteBudget(EVENT_BYTES_PER_SECOND, timer.now());
  }

  start(): void {
    this.tick = this.timer.every(TICK_MS, () => this.step());
  }

  stop(): void {
    this.tick?.end();
  }

  private step(): void {
    this.refresh();
    const now = this.timer.now();
    if (this.loadPace.canSpend(now)) {
      this.begin(this.mostUrgent(now), watch => this.readLoad(watch));
    }
    if (this.eventPace.canSpend(now)) {
      this.begin(this.longestUnread(), watch => this.readEvents(watch));
    }
  }

  private refresh(): void {
    const members = new Set(this.members());
    for (const upstream of this.watches.keys()) {
      if (!members.has(upstream)) this.watches.delete(upstream);
    }
    for (const upstream of members) {
      if (this.watches.has(upstream)) continue;
      this.watches.set(upstream, {
        upstream,
        cache: new CacheEventReader(upstream),
        loadAt: -Infinity,
        eventsAt: -Infinity,
        busy: false,
      });
    }
  }

  private mostUrgent(now: number): Watch | undefined {
    let best: Watch | undefined;
    let highest = -1;
    for (const watch of this.watches.values()) {
      if (watch.busy) continue;
      const weight = watch.upstream.inflight > 0 ? 1 : IDLE_WEIGHT;
      const urgency = weight * (now - watch.loadAt);
      if (urgency <= highest) continue;
      best = watch;
      highest = urgency;
    }
    return best;
  }

  private longestUnread(): Watch | undefined {
    let best: Watch | undefined;
    for (const watch of this.watches.values()) {
      if (watch.busy || watch.upstream.pool.kind !== 'runner') continue;
      if (best === undefined || watch.eventsAt < best.eventsAt) best = watch;
    }
    return best;
  }

  private begin(
    watch: Watch | undefined,
    read: (watch: Watch) => Promise<void>,
  ): void {
    if (watch === undefined || this.fetches >= FETCHES_LIMIT) return;
    this.fetches++;
    watch.busy = true;
    void read(watch).finally(() => {
      this.fetches--;
      watch.busy = false;
    });
  }

  private async readLoad(watch: Watch): Promise<void> {
    const {upstream} = watch;
    watch.loadAt = this.timer.now();
    const inflight = upstream.inflight;
    const fetched = await fetchLoad(upstream, this.timer);
    if (fetched.isErr()) return;
    this.loadPace.spend(fetched.value.bytes);
    upstream.load = fetched.value.report;
    upstream.observed.inflightAtReport = inflight;
    this.onReport(upstream);
  }

  private async readEvents(watch: Watch): Promise<void> {
    watch.eventsAt = this.timer.now();
    this.eventPace.spend(await watch.cache.readPage());
  }
}
