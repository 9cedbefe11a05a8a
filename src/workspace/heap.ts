/** A binary heap; the item that compares lowest is on top. */
export class Heap<Item> {
  private readonly items: Item[] = [];

  constructor(private readonly compare: (a: Item, b: Item) => number) {}

  get size(): number {
    return this.items.length;
  }

  peek(): Item | undefined {
    return this.items[0];
  }

  push(item: Item): void {
    this.items.push(item);
    this.rise(this.items.length - 1);
  }

  pop(): Item | undefined {
    const top = this.items[0];
    const last = this.items.pop();
    if (last === undefined || this.items.length === 0) return top;
    this.items[0] = last;
    this.sink(0);
    return top;
  }

  /** Keeps only the items that satisfy the predicate. */
  retain(predicate: (item: Item) => boolean): void {
    const kept = this.items.filter(predicate);
    this.items.length = 0;
    for (const item of kept) this.push(item);
  }

  private rise(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.swapIfLower(index, parent)) return;
      index = parent;
    }
  }

  private sink(start: number): void {
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

  private swapIfLower(a: number, b: number): boolean {
    if (!this.isLower(a, b)) return false;
    const first = this.items[a] as Item;
    this.items[a] = this.items[b] as Item;
    this.items[b] = first;
    return true;
  }
}
