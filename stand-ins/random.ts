import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns the next pseudo-random number in [0, 1). */
export type Random = () => number;

const RANGE = 2 ** 32;

/** Creates a generator whose numbers depend on `seed` alone. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / RANGE;
}

/**
 * A generator that restarts whenever its seed changes, so that the seed of a
 * stand-in can be changed while it runs.
 */
export class ReseedableRandom {
  private seed: number;
  private source: Random;

  constructor(seed: number) {
    this.seed = seed;
    this.source = seededRandom(seed);
  }

  /** The next number in [0, 1) of the generator seeded with `seed`. */
  next(seed: number): number {
    if (seed !== this.seed) {
      this.seed = seed;
      this.source = seededRandom(seed);
    }
    return this.source();
  }
}
