import {createHash} from 'node:crypto';
import {MemberState, type Member} from '../instance/member.js';

const WEIGHTS_LIMIT = 16_384;

/**
 * Chooses the home instance of each partition by rendezvous hashing, so that
 * instances with the same view of the fleet agree, and the loss of one moves
 * only its partitions. Homes batch appends; safety does not rest on them.
 */
export class PartitionOwners {
  private readonly weights = new Map<string, number>();

  /** Returns the home of a partition, or undefined without live members. */
  ownerOf(partition: number, members: readonly Member[]): Member | undefined {
    let home: Member | undefined;
    let best = -1;
    for (const member of members) {
      if (member.state !== MemberState.Alive) continue;
      const weight = this.weightOf(partition, member.name);
      if (weight > best) {
        best = weight;
        home = member;
      }
    }
    return home;
  }

  private weightOf(partition: number, name: string): number {
    const id = `${partition} ${name}`;
    const known = this.weights.get(id);
    if (known !== undefined) return known;
    if (this.weights.size >= WEIGHTS_LIMIT) this.weights.clear();
    const weight = createHash('sha256').update(id).digest().readUInt32BE(0);
    this.weights.set(id, weight);
    return weight;
  }
}
