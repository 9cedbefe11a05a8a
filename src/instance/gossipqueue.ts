import type {MemberRecord, StatusRecord, TopicItem} from './message.js';

/** Sends of one update per power of ten of the fleet's size. */
const RETRANSMIT_FACTOR = 4;
/**
 * Limit for each kind of update in one datagram, in bytes of JSON. The limits
 * are separate so that many member changes can't delay an item of a topic.
 */
const MAX_UPDATE_BYTES = {members: 240, items: 400, statuses: 150};

/** One update to be sent to peers. */
interface Update<Value> {
  value: Value;
  bytes: number;
  sendCount: number;
  /** Sequence number of the update in the queue, ascending. */
  order: number;
}

/** Updates selected for one datagram. */
export interface Selection {
  members: MemberRecord[];
  statuses: StatusRecord[];
  items: TopicItem[];
}

/**
 * Queue of updates to be sent along with probes. Each is sent a bounded number
 * of times. The least sent updates go first, and of these the newest. An update
 * replaces an older one of the same member or the same key of a topic.
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

  /** Number of queued updates of all kinds. */
  get size(): number {
    return this.members.size + this.statuses.size + this.items.size;
  }

  /**
   * Selects the updates of the next datagram in a fleet of `fleetSize`
   * instances, and counts them as sent.
   */
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

/** How often each update is sent in a fleet of `fleetSize` instances. */
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
