import {Heap} from './heap.js';

/** Handle of an item in a [[FairQueue]], returned on insertion. */
export interface Ticket<Item> {
  readonly item: Item;
  /** Virtual time at which the service of the item starts. */
  readonly startTag: number;
  /** Virtual finish time; the flow's next item starts no earlier. */
  readonly finishTag: number;
  /** False once the item has left the queue. */
  queued: boolean;
}

/** The items of one flow in order of insertion. */
interface Flow<Item> {
  name: string;
  tickets: Array<Ticket<Item>>;
  /** Index of the first ticket that may still be queued. */
  head: number;
  /** Finish tag of the ticket inserted last. */
  lastFinishTag: number;
}

interface FlowTicket<Item> {
  flow: Flow<Item>;
  ticket: Ticket<Item>;
}

/** Flows kept beyond twice the active ones before idle flows are deleted. */
const MAX_EXTRA_FLOWS = 64;
/** Heap entries kept beyond twice the queued items before a cleanup. */
const MAX_EXTRA_TICKETS = 64;
/** Removed tickets at the head of a flow before its array is compacted. */
const COMPACTION_THRESHOLD = 32;

/**
 * A start-time fair queue: flows share service in proportion to their weights,
 * regardless of their number of items. Within a flow, items are served first
 * in, first out. State is kept for flows with items and for some idle flows
 * that have already received more than their share.
 */
export class FairQueue<Item> {
  private readonly flows = new Map<string, Flow<Item>>();
  private readonly flowsByStartTag = new Heap<Flow<Item>>(
    (a, b) => headStartTag(a) - headStartTag(b),
  );
  private readonly ticketsByFinishTag = new Heap<FlowTicket<Item>>(
    (a, b) => b.ticket.finishTag - a.ticket.finishTag,
  );
  private virtualTime = 0;
  private count = 0;

  get size(): number {
    return this.count;
  }

  /** Number of flows with state, idle ones included. */
  get flowCount(): number {
    return this.flows.size;
  }

  /** Appends an item to a flow; `cost` is its expected amount of service. */
  push(
    flowName: string,
    weight: number,
    cost: number,
    item: Item,
  ): Ticket<Item> {
    const flow = this.flowFor(flowName);
    const startTag = Math.max(this.virtualTime, flow.lastFinishTag);
    const finishTag = startTag + cost / weight;
    const ticket: Ticket<Item> = {
      item,
      startTag,
      finishTag,
      queued: true,
    };
    flow.lastFinishTag = finishTag;
    flow.tickets.push(ticket);
    this.count++;
    if (flow.tickets.length - flow.head === 1) this.flowsByStartTag.push(flow);
    this.ticketsByFinishTag.push({flow, ticket});
    if (this.ticketsByFinishTag.size > 2 * this.count + MAX_EXTRA_TICKETS) {
      this.ticketsByFinishTag.retain(entry => entry.ticket.queued);
    }
    return ticket;
  }

  /** Returns the item with the lowest start tag without removing it. */
  peek(): Item | undefined {
    return this.nextFlow()?.tickets[this.nextFlow()?.head ?? 0]?.item;
  }

  /** Removes and returns the item with the lowest start tag. */
  pop(): Item | undefined {
    const flow = this.nextFlow();
    const ticket = flow?.tickets[flow.head];
    if (flow === undefined || ticket === undefined) return undefined;
    this.virtualTime = Math.max(this.virtualTime, ticket.startTag);
    this.markRemoved(ticket);
    this.nextFlow();
    return ticket.item;
  }

  /** Removes an item at any position, such as when its caller disconnects. */
  remove(flowName: string, ticket: Ticket<Item>): void {
    const flow = this.flows.get(flowName);
    if (flow === undefined || !ticket.queued) return;
    this.markRemoved(ticket);
  }

  /** Returns the item with the highest finish tag without removing it. */
  peekLast(): Item | undefined {
    for (;;) {
      const entry = this.ticketsByFinishTag.peek();
      if (entry === undefined || entry.ticket.queued) return entry?.ticket.item;
      this.ticketsByFinishTag.pop();
    }
  }

  /** Yields all queued items in no particular order. */
  *items(): Generator<Item> {
    for (const flow of this.flows.values()) {
      for (const ticket of flow.tickets.slice(flow.head)) {
        if (ticket.queued) yield ticket.item;
      }
    }
  }

  private flowFor(name: string): Flow<Item> {
    const existing = this.flows.get(name);
    if (existing !== undefined) return existing;
    const flow = {
      name,
      tickets: [],
      head: 0,
      lastFinishTag: this.virtualTime,
    };
    this.flows.set(name, flow);
    return flow;
  }

  private markRemoved(ticket: Ticket<Item>): void {
    ticket.queued = false;
    this.count--;
    if (this.count === 0) this.reset();
  }

  /** Deletes all flows: in an empty queue no flow is ahead of its share. */
  private reset(): void {
    this.flows.clear();
    this.flowsByStartTag.retain(() => false);
    this.ticketsByFinishTag.retain(() => false);
    this.virtualTime = 0;
  }

  /** Returns the flow to serve next, after dropping removed tickets. */
  private nextFlow(): Flow<Item> | undefined {
    for (;;) {
      const flow = this.flowsByStartTag.peek();
      if (flow === undefined) return undefined;
      if (flow.tickets[flow.head]?.queued === true) return flow;
      this.flowsByStartTag.pop();
      this.dropRemovedHead(flow);
      if (flow.head < flow.tickets.length) this.flowsByStartTag.push(flow);
      else this.deactivate(flow);
    }
  }

  /** Advances the head of a flow past removed tickets. */
  private dropRemovedHead(flow: Flow<Item>): void {
    while (flow.tickets[flow.head]?.queued === false) flow.head++;
    if (flow.head < COMPACTION_THRESHOLD) return;
    flow.tickets.splice(0, flow.head);
    flow.head = 0;
  }

  /** Clears an idle flow; deletes it unless it is ahead of its share. */
  private deactivate(flow: Flow<Item>): void {
    flow.tickets.length = 0;
    flow.head = 0;
    if (flow.lastFinishTag <= this.virtualTime) this.flows.delete(flow.name);
    const maxFlows = 2 * this.flowsByStartTag.size + MAX_EXTRA_FLOWS;
    if (this.flows.size > maxFlows) this.deleteIdleFlows();
  }

  /** Deletes flows without items, even those ahead of their share. */
  private deleteIdleFlows(): void {
    for (const [name, flow] of this.flows) {
      if (flow.tickets.length === 0) this.flows.delete(name);
    }
  }
}

function headStartTag<Item>(flow: Flow<Item>): number {
  return flow.tickets[flow.head]?.startTag ?? Infinity;
}
