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
