import {seededRandom, type Random as Source} from '../stand-ins/random.js';

/** Seeded randomness of a bench. */
export class Random {
  /** Returns a number from 0 to 1, 1 excluded. */
  readonly next: Source;

  constructor(seed: number) {
    this.next = seededRandom(seed);
  }

  /** A number from `least` to `most`. */
  between(least: number, most: number): number {
    return least + (most - least) * this.next();
  }

  /** One of the items. */
  pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.next() * items.length)] as Item;
  }

  /** The items in random order. */
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
