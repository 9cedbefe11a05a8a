import {Heap} from './heap.js';

/** An item in a [[FairQueue]], as the queue returns it on insertion. */
export interface Ticket<Item> {
  readonly item: Item;
  /** Virtual time at which the item is due. */
  readonly start: number;
  /** Virtual time at which the flow's next item is due at the earliest. */
  readonly finish: number;
  /** False once the item has left the queue. */
  queued: boolean;
}

interface Flow<Item> {
  name: string;
  tickets: Array<Ticket<Item>>;
  /** Index of the first ticket that has not been taken. */
  head: number;
  /** Virtual finish time of the last ticket. */
  finish: number;
}

interface Tail<Item> {
  flow: Flow<Item>;
  ticket: Ticket<Item>;
}

/** Idle flows kept beyond the active ones before they are swept. */
const IDLE_FLOWS_ALLOWANCE = 64;
const TAILS_ALLOWANCE = 64;
const COMPACTION_THRESHOLD = 32;

/**
 * A start-time fair queue: flows share service in proportion to their weights,
 * whatever their number of items. Within a flow, order is first in, first out.
 * State is kept for flows with items, and for some that are ahead of their
 * share.
 */
export class FairQueue<Item> {
  private readonly flows = new Map<string, Flow<Item>>();
  private readonly heads = new Heap<Flow<Item>>(
    (a, b) => headStart(a) - headStart(b),
  );
  private readonly tails = new Heap<Tail<Item>>(
    (a, b) => b.ticket.finish - a.ticket.finish,
  );
  private virtual = 0;
  private count = 0;

  get size(): number {
    return this.count;
  }

  /** Number of flows that state is kept for. */
  get flowCount(): number {
    return this.flows.size;
  }

  /** Adds an item; `cost` is the service it is expected to take. */
  push(name: string, weight: number, cost: number, item: Item): Ticket<Item> {
    const flow = this.flowOf(name);
    const start = Math.max(this.virtual, flow.finish);
    const finish = start + cost / weight;
    const ticket: Ticket<Item> = {item, start, finish, queued: true};
    flow.finish = finish;
    flow.tickets.push(ticket);
    this.count++;
    if (flow.tickets.length - flow.head === 1) this.heads.push(flow);
    this.tails.push({flow, ticket});
    if (this.tails.size > 2 * this.count + TAILS_ALLOWANCE) {
      this.tails.retain(tail => tail.ticket.queued);
    }
    return ticket;
  }

  /** Returns the item that is due next, and leaves it in the queue. */
  peek(): Item | undefined {
    return this.next()?.tickets[this.next()?.head ?? 0]?.item;
  }

  /** Takes the item that is due next. */
  pop(): Item | undefined {
    const flow = this.next();
    const ticket = flow?.tickets[flow.head];
    if (flow === undefined || ticket === undefined) return undefined;
    this.virtual = Math.max(this.virtual, ticket.start);
    this.forget(ticket);
    this.next();
    return ticket.item;
  }

  /** Takes an item out of its turn, such as when its caller goes away. */
  remove(name: string, ticket: Ticket<Item>): void {
    const flow = this.flows.get(name);
    if (flow === undefined || !ticket.queued) return;
    this.forget(ticket);
  }

  /** Returns the item that is due last, and leaves it in the queue. */
  peekLast(): Item | undefined {
    for (;;) {
      const tail = this.tails.peek();
      if (tail === undefined || tail.ticket.queued) return tail?.ticket.item;
      this.tails.pop();
    }
  }

  /** Every queued item, in no order. */
  *items(): Generator<Item> {
    for (const flow of this.flows.values()) {
      for (const ticket of flow.tickets.slice(flow.head)) {
        if (ticket.queued) yield ticket.item;
      }
    }
  }

  private flowOf(name: string): Flow<Item> {
    const known = this.flows.get(name);
    if (known !== undefined) return known;
    const flow = {name, tickets: [], head: 0, finish: this.virtual};
    this.flows.set(name, flow);
    return flow;
  }

  private forget(ticket: Ticket<Item>): void {
    ticket.queued = false;
    this.count--;
    if (this.count === 0) this.reset();
  }

  /** Forgets every flow; nobody is behind or ahead of an empty queue. */
  private reset(): void {
    this.flows.clear();
    this.heads.retain(() => false);
    this.tails.retain(() => false);
    this.virtual = 0;
  }

  /** Returns the flow that is due next, after dropping taken tickets. */
  private next(): Flow<Item> | undefined {
    for (;;) {
      const flow = this.heads.peek();
      if (flow === undefined) return undefined;
      if (flow.tickets[flow.head]?.queued === true) return flow;
      this.heads.pop();
      this.skipTaken(flow);
      if (flow.head < flow.tickets.length) this.heads.push(flow);
      else this.retire(flow);
    }
  }

  private skipTaken(flow: Flow<Item>): void {
    while (flow.tickets[flow.head]?.queued === false) flow.head++;
    if (flow.head < COMPACTION_THRESHOLD) return;
    flow.tickets.splice(0, flow.head);
    flow.head = 0;
  }

  private retire(flow: Flow<Item>): void {
    flow.tickets.length = 0;
    flow.head = 0;
    if (flow.finish <= this.virtual) this.flows.delete(flow.name);
    const limit = 2 * this.heads.size + IDLE_FLOWS_ALLOWANCE;
    if (this.flows.size > limit) this.sweep();
  }

  /** Forgets flows without items, those ahead of their share included. */
  private sweep(): void {
    for (const [name, flow] of this.flows) {
      if (flow.tickets.length === 0) this.flows.delete(name);
    }
  }
}

function headStart<Item>(flow: Flow<Item>): number {
  return flow.tickets[flow.head]?.start ?? Infinity;
}
