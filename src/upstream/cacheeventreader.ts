import {fetchCacheEvents, type CacheEventPage} from './report.js';
import type {Upstream} from './upstream.js';

const EVENTS_PER_PAGE = 16;

/**
 * Reads the cache events of one runner page by page and applies them to the
 * upstream's [[CachedBlocks]]. If events are missing, or if the reader skips
 * some because it can't keep up within its byte budget, all known blocks are
 * marked as uncertain.
 */
export class CacheEventReader {
  /** Sequence number of the next event to read. */
  private nextSequence = 0;
  /** Events skipped after the last full page; 0 after a partial one. */
  private skipCount = 0;
  private unsupported = false;

  constructor(private readonly upstream: Upstream) {}

  /**
   * Reads one page of events. Returns the bytes it took; 0 if it failed or if
   * the runner does not publish cache events.
   */
  async readPage(): Promise<number> {
    if (this.unsupported) return 0;
    const page = await fetchCacheEvents(
      this.upstream,
      this.nextSequence,
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
    if (first > this.nextSequence) cache.markUncertain();
    for (const event of events) {
      if (event.sequence > this.nextSequence) cache.markUncertain();
      this.nextSequence = event.sequence + 1;
      if (event.type === 'stored') cache.store(event.blocks);
      else cache.evict(event.blocks);
    }
    this.nextSequence = Math.max(this.nextSequence, next);
    this.skipAheadIfFull(events.length);
  }

  /**
   * Skips events after a full page, since the runner produces them faster than
   * they are read. The skip doubles with each consecutive full page.
   */
  private skipAheadIfFull(eventCount: number): void {
    if (eventCount < EVENTS_PER_PAGE) {
      this.skipCount = 0;
      return;
    }
    this.skipCount =
      this.skipCount === 0 ? EVENTS_PER_PAGE : 2 * this.skipCount;
    this.nextSequence += this.skipCount;
    this.upstream.observed.cache.markUncertain();
  }
}
