/** An item to pass on, and how often it was sent. */
interface Entry<Item> {
  item: Item;
  bytes: number;
  sends: number;
}

/**
 * What an instance passes on to random peers. Each item is sent a limited number
 * of times, those sent least often first, and a newer item replaces the one with
 * its key, so that messages stay small however much there is to tell.
 */
export class RelayQueue<Item> {
  private readonly entries = new Map<string, Entry<Item>>();

  constructor(
    /** Sends after which an item is dropped. */
    private readonly maxSends: number,
    /** Items above which the oldest is dropped. */
    private readonly maxItems = Infinity,
    /** Returns the size of an item in a message, in bytes. */
    private readonly sizeOf = (item: Item) => JSON.stringify(item).length,
  ) {}

  get size(): number {
    return this.entries.size;
  }

  /** Adds an item; one with the same key is replaced. */
  add(key: string, item: Item): void {
    const bytes = this.sizeOf(item);
    this.entries.delete(key);
    this.entries.set(key, {item, bytes, sends: 0});
    if (this.entries.size <= this.maxItems) return;
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.entries.delete(oldest);
  }

  /** Drops the items for which `isStale` holds. */
  prune(isStale: (item: Item) => boolean): void {
    for (const [key, {item}] of this.entries) {
      if (isStale(item)) this.entries.delete(key);
    }
  }

  /**
   * Items of at most `maxBytes` in all, for a message to `copies` peers. An item
   * that is larger alone is sent alone.
   */
  take(maxBytes: number, copies: number): Item[] {
    const ordered = [...this.entries].sort(([, a], [, b]) => a.sends - b.sends);
    const items: Item[] = [];
    let bytes = 0;
    for (const [key, entry] of ordered) {
      if (items.length > 0 && bytes + entry.bytes > maxBytes) continue;
      bytes += entry.bytes;
      items.push(entry.item);
      entry.sends += copies;
      if (entry.sends >= this.maxSends) this.entries.delete(key);
    }
    return items;
  }
}
