import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded source of numbers in [0, 1). */
export type Random = () => number;

const RANGE = 2 ** 32;

/** Opens a source whose numbers depend on `seed` alone. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / RANGE;
}

/**
 * A source that starts again whenever the seed it is asked with changes, so
 * that a stand-in's seed may be set while it runs.
 */
export class ReseedableRandom {
  private seed: number;
  private source: Random;

  constructor(seed: number) {
    this.seed = seed;
    this.source = seededRandom(seed);
  }

  /** The next number of the source of `seed`. */
  next(seed: number): number {
    if (seed !== this.seed) {
      this.seed = seed;
      this.source = seededRandom(seed);
    }
    return this.source();
  }
}
