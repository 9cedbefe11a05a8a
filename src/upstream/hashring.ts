import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

const POINTS_PER_NAME = 24;

/**
 * A consistent-hash ring. Instances that know the same names agree on the
 * order of names for a key without talking, and few keys move when a name
 * comes or goes. A lookup takes time logarithmic in the number of names.
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

  /** The first `count` distinct names for a key. */
  lookup(key: string, count: number): string[] {
    const found: string[] = [];
    const start = this.position(hasher.h32(key));
    for (let step = 0; step < this.owners.length; step++) {
      if (found.length >= count) break;
      const name = this.owners[(start + step) % this.owners.length] ?? '';
      if (!found.includes(name)) found.push(name);
    }
    return found;
  }

  private position(hash: number): number {
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
