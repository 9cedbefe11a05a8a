import type {TopicItem} from './message.js';

/**
 * A kind of data that instances gossip besides membership, such as the leaving
 * upstreams. Merging must be idempotent and independent of the order, as items
 * may arrive late, twice and in any order.
 */
export interface Topic {
  /** Unique among topics; sent with every item. */
  name: string;
  /** Merges an item from a peer. Returns whether it was new. */
  merge(key: string, value: unknown): boolean;
  /** All current items, for a full sync. */
  snapshot(): TopicItem[];
}

/** The topics of an instance. */
export class Topics {
  private readonly topics = new Map<string, Topic>();

  add(topic: Topic): void {
    this.topics.set(topic.name, topic);
  }

  /**
   * Merges an item from a peer. Returns whether it was new; an item of an
   * unknown topic is ignored.
   */
  merge({topic, key, value}: TopicItem): boolean {
    return this.topics.get(topic)?.merge(key, value) ?? false;
  }

  /** All current items of all topics. */
  snapshot(): TopicItem[] {
    return [...this.topics.values()].flatMap(topic => topic.snapshot());
  }
}
