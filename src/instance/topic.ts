import type {TopicItem} from './message.js';

/**
 * A kind of fact that the fleet spreads besides membership, described by the
 * part that owns it. Merging must be idempotent and independent of order, as
 * items arrive late, twice and in any order.
 */
export interface Topic {
  /** Unique among topics; part of every item on the wire. */
  name: string;
  /** Takes in an item of a peer. Returns whether it told anything new. */
  merge(key: string, value: unknown): boolean;
  /** Every item worth telling an instance that joins. */
  snapshot(): TopicItem[];
}

/** The topics of an instance. */
export class Topics {
  private readonly topics = new Map<string, Topic>();

  add(topic: Topic): void {
    this.topics.set(topic.name, topic);
  }

  /** Takes in an item of a peer. Returns whether it told anything new. */
  merge({topic, key, value}: TopicItem): boolean {
    return this.topics.get(topic)?.merge(key, value) ?? false;
  }

  /** Every item of all topics, for an instance that joins. */
  snapshot(): TopicItem[] {
    return [...this.topics.values()].flatMap(topic => topic.snapshot());
  }
}
