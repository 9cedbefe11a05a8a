import type {GossipMessage} from './message.js';

/** Age above which a message is ignored, in ms. */
const MAX_AGE_MS = 1_500;

/** Age above which the waiting requests in a message are ignored, in ms. */
const MAX_WAITING_AGE_MS = 500;

/** Load on an upstream from all other instances. */
export interface PeerLoad {
  /** Requests in flight. */
  inflight: number;
  /** Prompt tokens whose prefill is pending, by tier. */
  unread: Map<number, number>;
  /** Prompt tokens sent for prefill in the last second, by tier. */
  recent: Map<number, number>;
  /** Age of the oldest message included, in ms. */
  ageMs: number;
}

interface ReceivedMessage {
  message: GossipMessage;
  /** Monotonic time, in ms. */
  receivedAt: number;
}

/**
 * Load on the upstreams from the other instances, from their last messages.
 * `now` is monotonic time, in ms.
 */
export class PeerLoads {
  /** By name of the sending instance. */
  private readonly lastMessages = new Map<string, ReceivedMessage>();

  /** Replaces the last message of its sender. */
  update(message: GossipMessage, now: number): void {
    this.lastMessages.set(message.from, {message, receivedAt: now});
  }

  /** Number of other instances with a recent message. */
  countActive(now: number): number {
    let count = 0;
    for (const {receivedAt} of this.lastMessages.values()) {
      if (now - receivedAt <= MAX_AGE_MS) count++;
    }
    return count;
  }

  /**
   * The most urgent tier with a long-waiting request for a service at another
   * instance; `Infinity` if there is none.
   */
  waitingTier(service: string, now: number): number {
    let tier = Infinity;
    for (const {message, receivedAt} of this.lastMessages.values()) {
      if (now - receivedAt > MAX_WAITING_AGE_MS) continue;
      for (const [waitingService, waitingTier] of message.waiting) {
        if (waitingService === service) tier = Math.min(tier, waitingTier);
      }
    }
    return tier;
  }

  /** Sum of the load on an upstream that recent messages report. */
  loadOn(upstream: string, now: number): PeerLoad {
    const sum: PeerLoad = {
      inflight: 0,
      unread: new Map(),
      recent: new Map(),
      ageMs: 0,
    };
    for (const [sender, {message, receivedAt}] of this.lastMessages) {
      const ageMs = now - receivedAt;
      if (ageMs > MAX_AGE_MS) {
        this.lastMessages.delete(sender);
        continue;
      }
      for (const load of message.loads) {
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
