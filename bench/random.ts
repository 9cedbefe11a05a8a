import {seededRandom, type Random as Source} from '../stand-ins/random.js';

/** Seeded random choices for reproducible runs. */
export class Random {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly next: Source;

  constructor(seed: number) {
    this.next = seededRandom(seed);
  }

  /** Returns a number from `least` (inclusive) to `most` (exclusive). */
  between(least: number, most: number): number {
    return least + (most - least) * this.next();
  }

  /** Returns one of the items; they must not be empty. */
  pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.next() * items.length)] as Item;
  }

  /** Returns the items in random order, as a new array. */
  shuffle<Item>(items: readonly Item[]): Item[] {
    const rest = [...items];
    const shuffled: Item[] = [];
    while (rest.length > 0) {
      const index = Math.floor(this.next() * rest.length);
      shuffled.push(...rest.splice(index, 1));
    }
    return shuffled;
  }
}
