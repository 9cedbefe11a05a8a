import type {Subscription, Timer} from '../timer/index.js';
import {CacheEventReader} from './cacheeventreader.js';
import {ByteBudget} from './bytebudget.js';
import {fetchLoad} from './report.js';
import type {Upstream} from './upstream.js';

/** Byte budget of load reports, over all upstreams. */
const LOAD_REPORT_BYTES_PER_SECOND = 1_200;
/** Byte budget of cache events, over all upstreams. */
const CACHE_EVENT_BYTES_PER_SECOND = 500;
const POLL_INTERVAL_MS = 50;
/**
 * Weight of the age of a load report while this instance has no attempts on the
 * upstream; 1 otherwise.
 */
const IDLE_URGENCY_WEIGHT = 0.25;
const MAX_INFLIGHT_FETCHES = 4;

/** Polling state of one upstream; times are monotonic ms. */
interface PolledUpstream {
  upstream: Upstream;
  cacheEvents: CacheEventReader;
  /** When the load report was last requested. */
  loadAt: number;
  /** When cache events were last requested. */
  eventsAt: number;
  /** Whether a request for a report or for cache events is in flight. */
  fetching: boolean;
}

/**
 * Polls load reports and cache events of the upstreams this instance uses,
 * within a byte budget for each. Each poll picks the upstream with the oldest
 * data; load reports of upstreams with attempts in flight are refreshed more
 * often.
 */
export class ReportPoller {
  private polled = new Map<Upstream, PolledUpstream>();
  private inflight = 0;
  private readonly loadBudget: ByteBudget;
  private readonly cacheEventBudget: ByteBudget;
  private pollSubscription?: Subscription;

  /**
   * `upstreams` returns the upstreams to poll; `onReport` is called after each
   * new load report.
   */
  constructor(
    private readonly upstreams: () => Iterable<Upstream>,
    private readonly timer: Timer,
    private readonly onReport: (upstream: Upstream) => void,
  ) {
    this.loadBudget = new ByteBudget(LOAD_REPORT_BYTES_PER_SECOND, timer.now());
    this.cacheEventBudget = new ByteBudget(
      CACHE_EVENT_BYTES_PER_SECOND,
      timer.now(),
    );
  }

  start(): void {
    this.pollSubscription = this.timer.every(POLL_INTERVAL_MS, () =>
      this.poll(),
    );
  }

  stop(): void {
    this.pollSubscription?.end();
  }

  private poll(): void {
    this.syncUpstreams();
    const now = this.timer.now();
    if (this.loadBudget.canSpend(now)) {
      this.startFetch(this.nextForLoad(now), target =>
        this.fetchLoadReport(target),
      );
    }
    if (this.cacheEventBudget.canSpend(now)) {
      this.startFetch(this.nextForCacheEvents(), target =>
        this.fetchEvents(target),
      );
    }
  }

  /** Adds and removes upstreams as `upstreams` returns them. */
  private syncUpstreams(): void {
    const current = new Set(this.upstreams());
    for (const upstream of this.polled.keys()) {
      if (!current.has(upstream)) this.polled.delete(upstream);
    }
    for (const upstream of current) {
      if (this.polled.has(upstream)) continue;
      this.polled.set(upstream, {
        upstream,
        cacheEvents: new CacheEventReader(upstream),
        loadAt: -Infinity,
        eventsAt: -Infinity,
        fetching: false,
      });
    }
  }

  /** Returns the upstream whose weighted load report is the oldest. */
  private nextForLoad(now: number): PolledUpstream | undefined {
    let best: PolledUpstream | undefined;
    let highest = -1;
    for (const target of this.polled.values()) {
      if (target.fetching) continue;
      const weight = target.upstream.inflight > 0 ? 1 : IDLE_URGENCY_WEIGHT;
      const urgency = weight * (now - target.loadAt);
      if (urgency <= highest) continue;
      best = target;
      highest = urgency;
    }
    return best;
  }

  /** Returns the runner whose cache events were read longest ago. */
  private nextForCacheEvents(): PolledUpstream | undefined {
    let best: PolledUpstream | undefined;
    for (const target of this.polled.values()) {
      if (target.fetching || target.upstream.pool.kind !== 'runner') continue;
      if (best === undefined || target.eventsAt < best.eventsAt) best = target;
    }
    return best;
  }

  /** Starts a read unless the limit of concurrent fetches is reached. */
  private startFetch(
    target: PolledUpstream | undefined,
    read: (target: PolledUpstream) => Promise<void>,
  ): void {
    if (target === undefined || this.inflight >= MAX_INFLIGHT_FETCHES) return;
    this.inflight++;
    target.fetching = true;
    void read(target).finally(() => {
      this.inflight--;
      target.fetching = false;
    });
  }

  private async fetchLoadReport(target: PolledUpstream): Promise<void> {
    const {upstream} = target;
    target.loadAt = this.timer.now();
    const inflightAtRequest = upstream.inflight;
    const fetched = await fetchLoad(upstream, this.timer);
    if (fetched.isErr()) return;
    this.loadBudget.spend(fetched.value.bytes);
    upstream.load = fetched.value.report;
    upstream.observed.inflightAtReport = inflightAtRequest;
    this.onReport(upstream);
  }

  private async fetchEvents(target: PolledUpstream): Promise<void> {
    target.eventsAt = this.timer.now();
    this.cacheEventBudget.spend(await target.cacheEvents.readPage());
  }
}
