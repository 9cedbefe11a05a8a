import {createHash} from 'node:crypto';
import {MemberState, type Member} from '../instance/member.js';

/** Number of cached weights from which the cache is cleared. */
const MAX_CACHED_WEIGHTS = 16_384;

/**
 * Chooses the owner of each partition by rendezvous hashing: instances with the
 * same list of members choose the same owner, and when an instance is lost,
 * only its partitions change owner. The owner batches the appends of all
 * instances. Claims stay correct when instances disagree about the owner.
 */
export class PartitionOwners {
  private readonly weights = new Map<string, number>();

  /** Returns a partition's owner, or undefined if no member is alive. */
  ownerOf(partition: number, members: readonly Member[]): Member | undefined {
    let owner: Member | undefined;
    let highest = -1;
    for (const member of members) {
      if (member.state !== MemberState.Alive) continue;
      const weight = this.weightOf(partition, member.name);
      if (weight > highest) {
        highest = weight;
        owner = member;
      }
    }
    return owner;
  }

  private weightOf(partition: number, name: string): number {
    const id = `${partition} ${name}`;
    const cached = this.weights.get(id);
    if (cached !== undefined) return cached;
    if (this.weights.size >= MAX_CACHED_WEIGHTS) this.weights.clear();
    const weight = createHash('sha256').update(id).digest().readUInt32BE(0);
    this.weights.set(id, weight);
    return weight;
  }
}
