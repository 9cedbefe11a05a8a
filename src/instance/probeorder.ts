import type {Member} from './member.js';

/**
 * The order in which an instance probes its peers: each once a round, in an
 * order shuffled anew for every round, so that every peer is probed within a
 * bounded time and no two instances keep probing the same one.
 */
export class ProbeOrder {
  private round: string[] = [];

  constructor(private readonly random: () => number) {}

  /** Returns the next of `peers` to probe, or undefined if there is none. */
  next(peers: readonly Member[]): Member | undefined {
    if (peers.length === 0) return undefined;
    const byName = new Map(peers.map(peer => [peer.name, peer]));
    for (;;) {
      const name = this.round.pop();
      if (name === undefined) {
        this.round = shuffle([...byName.keys()], this.random);
        continue;
      }
      const peer = byName.get(name);
      if (peer !== undefined) return peer;
    }
  }
}

/** Returns `count` of the items, chosen at random. */
export function sample<Item>(
  items: readonly Item[],
  count: number,
  random: () => number,
): Item[] {
  return shuffle([...items], random).slice(0, count);
}

function shuffle<Item>(items: Item[], random: () => number): Item[] {
  for (let end = items.length - 1; end > 0; end--) {
    const at = Math.floor(random() * (end + 1));
    const item = items[end] as Item;
    items[end] = items[at] as Item;
    items[at] = item;
  }
  return items;
}
