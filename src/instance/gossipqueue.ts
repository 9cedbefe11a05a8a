import type {MemberRecord, StatusRecord, TopicItem} from './message.js';

/** Retransmissions of one update, times the logarithm of the fleet's size. */
const RETRANSMIT_FACTOR = 4;
/**
 * Space in one datagram for each kind of update, in bytes of JSON. Each has its
 * own, so that many changes of members can't hold up an item of a topic.
 */
const SPACE = {members: 240, items: 400, statuses: 150};

/** One update waiting to be told to peers. */
interface Update<Value> {
  value: Value;
  bytes: number;
  sent: number;
  /** Grows with every update added. */
  order: number;
}

/** Updates picked for one datagram. */
export interface Selection {
  members: MemberRecord[];
  statuses: StatusRecord[];
  items: TopicItem[];
}

/**
 * Updates on their way through the fleet. Each is sent a bounded number of
 * times, the least sent first and of these the newest; a newer update of the
 * same subject replaces the older one.
 */
export class GossipQueue {
  private readonly members = new Map<string, Update<MemberRecord>>();
  private readonly statuses = new Map<string, Update<StatusRecord>>();
  private readonly items = new Map<string, Update<TopicItem>>();
  private order = 0;

  addMember(record: MemberRecord): void {
    this.members.set(record.name, this.fresh(record));
  }

  addStatus(record: StatusRecord): void {
    this.statuses.set(record.name, this.fresh(record));
  }

  addItem(item: TopicItem): void {
    this.items.set(`${item.topic} ${item.key}`, this.fresh(item));
  }

  /** Updates that still wait, of all kinds. */
  get size(): number {
    return this.members.size + this.statuses.size + this.items.size;
  }

  /** Picks the updates of the next datagram in a fleet of `size` instances. */
  select(size: number): Selection {
    const limit = retransmitLimit(size);
    return {
      members: pick(this.members, SPACE.members, limit),
      items: pick(this.items, SPACE.items, limit),
      statuses: pick(this.statuses, SPACE.statuses, limit),
    };
  }

  private fresh<Value>(value: Value): Update<Value> {
    const bytes = JSON.stringify(value).length + 1;
    return {value, bytes, sent: 0, order: ++this.order};
  }
}

/** How often each update is sent in a fleet of `size` instances. */
export function retransmitLimit(size: number): number {
  return RETRANSMIT_FACTOR * Math.ceil(Math.log10(size + 1));
}

function pick<Value>(
  updates: Map<string, Update<Value>>,
  space: number,
  limit: number,
): Value[] {
  const values: Value[] = [];
  let bytes = 0;
  const waiting = [...updates].sort(
    ([, a], [, b]) => a.sent - b.sent || b.order - a.order,
  );
  for (const [key, update] of waiting) {
    if (bytes + update.bytes > space) continue;
    bytes += update.bytes;
    values.push(update.value);
    update.sent++;
    if (update.sent >= limit) updates.delete(key);
  }
  return values;
}
