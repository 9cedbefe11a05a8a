import {FairQueue} from '../workspace/index.js';
import {tierOf, type QueueEntry} from './queueentry.js';

/** The waiting requests of one class that the same upstreams can serve. */
interface Lane {
  name: string;
  onTime: FairQueue<QueueEntry>;
  /** Requests that can't meet their targets any more. */
  late: FairQueue<QueueEntry>;
}

interface ClassQueue {
  name: string;
  tier: number;
  lanes: Map<string, Lane>;
  size: number;
}

/** Tells whether an entry can't be started now, whoever waits behind it. */
export type Blocked = (lane: string, tier: number) => boolean;

/**
 * The bounded wait of one instance. Order is by tier, then by the latest start
 * that meets the target of the class, then fair over workspaces. Requests that
 * can't meet their targets any more wait behind those that can, and regain the
 * order of their tier halfway between target and deadline.
 */
export class AdmissionQueue {
  private readonly classes = new Map<string, ClassQueue>();
  /** Classes by tier, highest first; computed again when one is added. */
  private ordered: ClassQueue[] = [];
  private count = 0;
  private byteCount = 0;

  get size(): number {
    return this.count;
  }

  /** Bytes of the waiting bodies. */
  get bytes(): number {
    return this.byteCount;
  }

  sizeOf(className: string): number {
    return this.classes.get(className)?.size ?? 0;
  }

  /** Number of waiting requests of a tier or of higher ones. */
  sizeAtOrAbove(tier: number): number {
    let sum = 0;
    for (const queue of this.ordered) if (queue.tier <= tier) sum += queue.size;
    return sum;
  }

  /** Names of the classes that have waiting requests. */
  *waitingClasses(): Generator<string> {
    for (const {name, size} of this.ordered) if (size > 0) yield name;
  }

  push(entry: QueueEntry, now: number): void {
    const queue = this.classOf(entry);
    const lane = laneOf(queue, entry.demandKey);
    entry.late = now > entry.latestStartAt;
    this.insert(lane, entry);
    queue.size++;
    this.count++;
    this.byteCount += entry.work.body.length;
  }

  remove(entry: QueueEntry): void {
    const queue = this.classes.get(entry.work.serviceClass.name);
    const lane = queue?.lanes.get(entry.demandKey);
    if (queue === undefined || lane === undefined) return;
    if (entry.ticket?.queued !== true) return;
    const flows = entry.late ? lane.late : lane.onTime;
    flows.remove(entry.work.workspace.name, entry.ticket);
    queue.size--;
    this.count--;
    this.byteCount -= entry.work.body.length;
    if (lane.onTime.size + lane.late.size === 0) queue.lanes.delete(lane.name);
  }

  /** The request to start next among those not blocked; it stays queued. */
  next(now: number, blocked: Blocked): QueueEntry | undefined {
    let best: QueueEntry | undefined;
    let late: QueueEntry | undefined;
    for (const queue of this.ordered) {
      if (queue.size === 0) continue;
      if (best !== undefined && queue.tier > tierOf(best)) return best;
      for (const lane of queue.lanes.values()) {
        if (blocked(lane.name, queue.tier)) continue;
        this.refresh(lane, now);
        best = earlier(best, lane.onTime.peek());
        const overdue = lane.late.peek();
        if (overdue === undefined) continue;
        if (now >= overdue.priorityRestoredAt) best = earlier(best, overdue);
        late ??= overdue;
      }
    }
    return best ?? late;
  }

  /** The request of one class to start next among lanes not blocked. */
  nextOf(
    className: string,
    now: number,
    blocked: Blocked,
  ): QueueEntry | undefined {
    const queue = this.classes.get(className);
    if (queue === undefined || queue.size === 0) return undefined;
    let best: QueueEntry | undefined;
    let late: QueueEntry | undefined;
    for (const lane of queue.lanes.values()) {
      if (blocked(lane.name, queue.tier)) continue;
      this.refresh(lane, now);
      best = earlier(best, lane.onTime.peek());
      late = earlier(late, lane.late.peek());
    }
    return best ?? late;
  }

  /**
   * The request that gains least by waiting on: of the lowest waiting tier,
   * one that misses its target anyway, else the one due last.
   */
  shedCandidate(): QueueEntry | undefined {
    const lowest = this.ordered.findLast(({size}) => size > 0);
    if (lowest === undefined) return undefined;
    let victim: QueueEntry | undefined;
    for (const queue of this.ordered) {
      if (queue.tier !== lowest.tier) continue;
      for (const lane of queue.lanes.values()) {
        victim = lessGain(
          victim,
          lane.late.peekLast() ?? lane.onTime.peekLast(),
        );
      }
    }
    return victim;
  }

  /** Every waiting request, in no order. */
  *items(): Generator<QueueEntry> {
    for (const {lanes} of this.ordered) {
      for (const {onTime, late} of lanes.values()) {
        yield* onTime.items();
        yield* late.items();
      }
    }
  }

  private insert(lane: Lane, entry: QueueEntry): void {
    const {workspace} = entry.work;
    const flows = entry.late ? lane.late : lane.onTime;
    entry.ticket = flows.push(
      workspace.name,
      workspace.weight,
      entry.costTokens,
      entry,
    );
  }

  /** Moves heads that have become late to the late queue. */
  private refresh(lane: Lane, now: number): void {
    for (;;) {
      const head = lane.onTime.peek();
      if (head === undefined || now <= head.latestStartAt) return;
      lane.onTime.pop();
      head.late = true;
      this.insert(lane, head);
    }
  }

  private classOf(entry: QueueEntry): ClassQueue {
    const {name, tier} = entry.work.serviceClass;
    const known = this.classes.get(name);
    if (known?.tier === tier) return known;
    if (known !== undefined && known.size > 0) return known;
    const queue = {name, tier, lanes: new Map<string, Lane>(), size: 0};
    this.classes.set(name, queue);
    this.ordered = [...this.classes.values()].sort((a, b) => a.tier - b.tier);
    return queue;
  }
}

function laneOf(queue: ClassQueue, name: string): Lane {
  const known = queue.lanes.get(name);
  if (known !== undefined) return known;
  const lane = {
    name,
    onTime: new FairQueue<QueueEntry>(),
    late: new FairQueue<QueueEntry>(),
  };
  queue.lanes.set(name, lane);
  return lane;
}

function earlier(a: QueueEntry | undefined, b: QueueEntry | undefined) {
  if (a === undefined || b === undefined) return a ?? b;
  return b.latestStartAt < a.latestStartAt ? b : a;
}

function lessGain(a: QueueEntry | undefined, b: QueueEntry | undefined) {
  if (a === undefined || b === undefined) return a ?? b;
  if (a.late !== b.late) return a.late ? a : b;
  return b.latestStartAt > a.latestStartAt ? b : a;
}
