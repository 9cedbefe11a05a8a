/** A binary min-heap ordered by `compare`. */
export class Heap<Item> {
  private readonly items: Item[] = [];

  constructor(private readonly compare: (a: Item, b: Item) => number) {}

  get size(): number {
    return this.items.length;
  }

  /** Returns the lowest item without removing it; undefined if empty. */
  peek(): Item | undefined {
    return this.items[0];
  }

  push(item: Item): void {
    this.items.push(item);
    this.siftUp(this.items.length - 1);
  }

  /** Removes and returns the lowest item; undefined if empty. */
  pop(): Item | undefined {
    const top = this.items[0];
    const last = this.items.pop();
    if (last === undefined || this.items.length === 0) return top;
    this.items[0] = last;
    this.siftDown(0);
    return top;
  }

  /** Removes all items that do not satisfy the predicate. */
  retain(predicate: (item: Item) => boolean): void {
    const kept = this.items.filter(predicate);
    this.items.length = 0;
    for (const item of kept) this.push(item);
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.swapIfLower(index, parent)) return;
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= this.items.length) return;
      const right = left + 1;
      const child = this.isLower(right, left) ? right : left;
      if (!this.swapIfLower(child, index)) return;
      index = child;
    }
  }

  private isLower(a: number, b: number): boolean {
    const [first, second] = [this.items[a], this.items[b]];
    if (first === undefined || second === undefined) return false;
    return this.compare(first, second) < 0;
  }

  /** Swaps two items if the one at `a` is lower; returns whether it did. */
  private swapIfLower(a: number, b: number): boolean {
    if (!this.isLower(a, b)) return false;
    const first = this.items[a] as Item;
    this.items[a] = this.items[b] as Item;
    this.items[b] = first;
    return true;
  }
}
