import type {News} from './message.js';

/** Age from which what an instance said does not count any more, in ms. */
const AGE_LIMIT_MS = 1_500;

/** Age from which a waiting request is taken to be gone, in ms. */
const WAITING_AGE_LIMIT_MS = 500;

/** Load that other instances have put on an upstream. */
export interface FleetLoad {
  inflight: number;
  unread: Map<number, number>;
  recent: Map<number, number>;
  /** Age of the oldest news it is made of, in ms. */
  ageMs: number;
}

interface Heard {
  news: News;
  at: number;
}

/** What the other instances last said of the load they put on upstreams. */
export class FleetLoads {
  private readonly heard = new Map<string, Heard>();

  take(news: News, now: number): void {
    this.heard.set(news.from, {news, at: now});
  }

  /** Instances that were heard of late. */
  size(now: number): number {
    let count = 0;
    for (const {at} of this.heard.values()) {
      if (now - at <= AGE_LIMIT_MS) count++;
    }
    return count;
  }

  /**
   * The most urgent tier that has waited for long at another instance;
   * `Infinity` if none has.
   */
  waitingTier(service: string, now: number): number {
    let tier = Infinity;
    for (const {news, at} of this.heard.values()) {
      if (now - at > WAITING_AGE_LIMIT_MS) continue;
      for (const [other, waiting] of news.waiting) {
        if (other === service) tier = Math.min(tier, waiting);
      }
    }
    return tier;
  }

  /** The load that others have put on an upstream, as far as is known. */
  of(upstream: string, now: number): FleetLoad {
    const sum: FleetLoad = {
      inflight: 0,
      unread: new Map(),
      recent: new Map(),
      ageMs: 0,
    };
    for (const [name, {news, at}] of this.heard) {
      const ageMs = now - at;
      if (ageMs > AGE_LIMIT_MS) {
        this.heard.delete(name);
        continue;
      }
      for (const load of news.loads) {
        if (load.upstream !== upstream) continue;
        sum.inflight += load.inflight;
        sum.ageMs = Math.max(sum.ageMs, ageMs);
        addTokens(sum.unread, load.unread);
        addTokens(sum.recent, load.recent);
      }
    }
    return sum;
  }
}

function addTokens(
  sum: Map<number, number>,
  added: ReadonlyArray<[number, number]>,
): void {
  for (const [tier, tokens] of added) {
    sum.set(tier, (sum.get(tier) ?? 0) + tokens);
  }
}
