import type {MemberRecord, StatusRecord, TopicItem} from './message.js';

/** Retransmissions of one update, times the logarithm of the fleet's size. */
const RETRANSMIT_FACTOR = 4;
/**
 * Space in one datagram for each kind of update, in bytes of JSON. Each has its
 * own, so that many changes of members can't hold up an item of a topic.
 */
const MAX_UPDATE_BYTES = {members: 240, items: 400, statuses: 150};

/** One update waiting to be told to peers. */
interface Update<Value> {
  value: Value;
  bytes: number;
  sendCount: number;
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
    this.members.set(record.name, this.createUpdate(record));
  }

  addStatus(record: StatusRecord): void {
    this.statuses.set(record.name, this.createUpdate(record));
  }

  addItem(item: TopicItem): void {
    this.items.set(`${item.topic} ${item.key}`, this.createUpdate(item));
  }

  /** Updates that still wait, of all kinds. */
  get size(): number {
    return this.members.size + this.statuses.size + this.items.size;
  }

  /** Picks the updates of the next datagram in a fleet of `size` instances. */
  select(fleetSize: number): Selection {
    const maxSends = retransmitLimit(fleetSize);
    return {
      members: selectUpdates(this.members, MAX_UPDATE_BYTES.members, maxSends),
      items: selectUpdates(this.items, MAX_UPDATE_BYTES.items, maxSends),
      statuses: selectUpdates(
        this.statuses,
        MAX_UPDATE_BYTES.statuses,
        maxSends,
      ),
    };
  }

  private createUpdate<Value>(value: Value): Update<Value> {
    const bytes = JSON.stringify(value).length + 1;
    return {value, bytes, sendCount: 0, order: ++this.order};
  }
}

/** How often each update is sent in a fleet of `size` instances. */
export function retransmitLimit(fleetSize: number): number {
  return RETRANSMIT_FACTOR * Math.ceil(Math.log10(fleetSize + 1));
}

function selectUpdates<Value>(
  updates: Map<string, Update<Value>>,
  maxBytes: number,
  maxSends: number,
): Value[] {
  const values: Value[] = [];
  let usedBytes = 0;
  const candidates = [...updates].sort(
    ([, a], [, b]) => a.sendCount - b.sendCount || b.order - a.order,
  );
  for (const [key, update] of candidates) {
    if (usedBytes + update.bytes > maxBytes) continue;
    usedBytes += update.bytes;
    values.push(update.value);
    update.sendCount++;
    if (update.sendCount >= maxSends) updates.delete(key);
  }
  return values;
}
