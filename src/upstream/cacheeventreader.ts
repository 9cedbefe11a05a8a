import {fetchCacheEvents, type CacheEventPage} from './report.js';
import type {Upstream} from './upstream.js';

const EVENTS_PER_PAGE = 16;

/**
 * Follows the cache events of one runner. Where events were lost, or where the
 * follower skips ahead because it can't keep up within its budget, the blocks
 * known so far become doubtful.
 */
export class CacheEventReader {
  private next = 0;
  private skip = 0;
  private unsupported = false;

  constructor(private readonly upstream: Upstream) {}

  /** Reads one page and returns the bytes it took. */
  async readPage(): Promise<number> {
    if (this.unsupported) return 0;
    const page = await fetchCacheEvents(
      this.upstream,
      this.next,
      EVENTS_PER_PAGE,
    );
    if (page.isErr()) {
      this.unsupported = page.error.type === 'reportUnsupported';
      return 0;
    }
    this.apply(page.value.report);
    return page.value.bytes;
  }

  private apply({events, first, next}: CacheEventPage): void {
    const {cache} = this.upstream.observed;
    if (first > this.next) cache.markUncertain();
    for (const event of events) {
      if (event.sequence > this.next) cache.markUncertain();
      this.next = event.sequence + 1;
      if (event.type === 'stored') cache.store(event.blocks);
      else cache.evict(event.blocks);
    }
    this.next = Math.max(this.next, next);
    this.catchUp(events.length);
  }

  /** Skips twice as far each time a page was full. */
  private catchUp(count: number): void {
    if (count < EVENTS_PER_PAGE) {
      this.skip = 0;
      return;
    }
    this.skip = this.skip === 0 ? EVENTS_PER_PAGE : 2 * this.skip;
    this.next += this.skip;
    this.upstream.observed.cache.markUncertain();
  }
}
