import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Virtual nodes of each name on the ring. */
const POINTS_PER_NAME = 24;

/**
 * A consistent-hash ring of names. Instances with the same names compute the
 * same order of names for a key without communicating, and adding or removing a
 * name moves few keys. A lookup takes time logarithmic in the number of names.
 */
export class HashRing {
  private readonly points: Uint32Array;
  private readonly owners: string[];

  constructor(names: readonly string[]) {
    const points = names.flatMap(name =>
      Array.from({length: POINTS_PER_NAME}, (_, index) => ({
        name,
        point: hasher.h32(name, index),
      })),
    );
    points.sort((a, b) => a.point - b.point || (a.name < b.name ? -1 : 1));
    this.points = Uint32Array.from(points, ({point}) => point);
    this.owners = points.map(({name}) => name);
  }

  /** Returns the first `count` distinct names at or after a key's hash. */
  lookup(key: string, count: number): string[] {
    const found: string[] = [];
    const start = this.firstPointAtOrAfter(hasher.h32(key));
    for (let offset = 0; offset < this.owners.length; offset++) {
      if (found.length >= count) break;
      const name = this.owners[(start + offset) % this.owners.length] ?? '';
      if (!found.includes(name)) found.push(name);
    }
    return found;
  }

  /** Index of the first point at or after `hash`; may be past the end. */
  private firstPointAtOrAfter(hash: number): number {
    let low = 0;
    let high = this.points.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.points[middle] ?? 0) < hash) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
