import {FairQueue} from '../workspace/index.js';
import {tierOf, type QueueEntry} from './queueentry.js';

/** Waiting requests of one class that can use the same upstreams. */
interface Lane {
  /** The [[QueueEntry.demandKey]] of its requests. */
  key: string;
  onTime: FairQueue<QueueEntry>;
  /** Requests that are expected to miss a target. */
  late: FairQueue<QueueEntry>;
}

/** Waiting requests of one class; `lanes` is keyed by demand key. */
interface ClassQueue {
  name: string;
  tier: number;
  lanes: Map<string, Lane>;
  size: number;
}

/** Whether no request of a demand key and tier can be started now. */
export type BlockedPredicate = (demandKey: string, tier: number) => boolean;

/**
 * Wait queue of one dispatcher. Order is by tier; within a tier, by latest
 * start among the heads of the lanes; within a lane, by fair queueing over
 * workspaces. Requests that can no longer meet their targets wait behind all
 * that can, and return to the order of their tier halfway between their latest
 * start and their deadline.
 */
export class AdmissionQueue {
  private readonly classes = new Map<string, ClassQueue>();
  /** The classes, highest tier first. */
  private byTier: ClassQueue[] = [];
  private count = 0;
  private byteCount = 0;

  get size(): number {
    return this.count;
  }

  /** Total size of the bodies of waiting requests. */
  get bytes(): number {
    return this.byteCount;
  }

  sizeOf(className: string): number {
    return this.classes.get(className)?.size ?? 0;
  }

  /** Number of waiting requests of `tier` and of higher tiers. */
  sizeAtOrAbove(tier: number): number {
    let sum = 0;
    for (const queue of this.byTier) if (queue.tier <= tier) sum += queue.size;
    return sum;
  }

  /** Names of the classes that have waiting requests. */
  *waitingClasses(): Generator<string> {
    for (const {name, size} of this.byTier) if (size > 0) yield name;
  }

  push(entry: QueueEntry, now: number): void {
    const queue = this.classQueueOf(entry);
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
    const fairQueue = entry.late ? lane.late : lane.onTime;
    fairQueue.remove(entry.work.workspace.name, entry.ticket);
    queue.size--;
    this.count--;
    this.byteCount -= entry.work.body.length;
    if (lane.onTime.size + lane.late.size === 0) queue.lanes.delete(lane.key);
  }

  /** The first request that is not blocked; it stays in the queue. */
  next(now: number, blocked: BlockedPredicate): QueueEntry | undefined {
    let best: QueueEntry | undefined;
    let late: QueueEntry | undefined;
    for (const queue of this.byTier) {
      if (queue.size === 0) continue;
      if (best !== undefined && queue.tier > tierOf(best)) return best;
      for (const lane of queue.lanes.values()) {
        if (blocked(lane.key, queue.tier)) continue;
        this.moveLate(lane, now);
        best = earlier(best, lane.onTime.peek());
        const overdue = lane.late.peek();
        if (overdue === undefined) continue;
        if (now >= overdue.priorityRestoredAt) best = earlier(best, overdue);
        late ??= overdue;
      }
    }
    return best ?? late;
  }

  /** Like [[next]], for the requests of one class. */
  nextOf(
    className: string,
    now: number,
    blocked: BlockedPredicate,
  ): QueueEntry | undefined {
    const queue = this.classes.get(className);
    if (queue === undefined || queue.size === 0) return undefined;
    let best: QueueEntry | undefined;
    let late: QueueEntry | undefined;
    for (const lane of queue.lanes.values()) {
      if (blocked(lane.key, queue.tier)) continue;
      this.moveLate(lane, now);
      best = earlier(best, lane.onTime.peek());
      late = earlier(late, lane.late.peek());
    }
    return best ?? late;
  }

  /**
   * The request to shed first: of the lowest waiting tier, one that is expected
   * to miss its targets anyway, else the one with the latest start.
   */
  shedCandidate(): QueueEntry | undefined {
    const lowest = this.byTier.findLast(({size}) => size > 0);
    if (lowest === undefined) return undefined;
    let victim: QueueEntry | undefined;
    for (const queue of this.byTier) {
      if (queue.tier !== lowest.tier) continue;
      for (const lane of queue.lanes.values()) {
        victim = betterShedCandidate(
          victim,
          lane.late.peekLast() ?? lane.onTime.peekLast(),
        );
      }
    }
    return victim;
  }

  /** Every waiting request, in no particular order. */
  *items(): Generator<QueueEntry> {
    for (const {lanes} of this.byTier) {
      for (const {onTime, late} of lanes.values()) {
        yield* onTime.items();
        yield* late.items();
      }
    }
  }

  private insert(lane: Lane, entry: QueueEntry): void {
    const {workspace} = entry.work;
    const fairQueue = entry.late ? lane.late : lane.onTime;
    entry.ticket = fairQueue.push(
      workspace.name,
      workspace.weight,
      entry.costTokens,
      entry,
    );
  }

  /** Moves requests at the head whose latest start has passed to `late`. */
  private moveLate(lane: Lane, now: number): void {
    for (;;) {
      const head = lane.onTime.peek();
      if (head === undefined || now <= head.latestStartAt) return;
      lane.onTime.pop();
      head.late = true;
      this.insert(lane, head);
    }
  }

  /**
   * Returns the queue of the entry's class, or creates one. After a change of
   * the configured tier, the old queue is kept until it is empty.
   */
  private classQueueOf(entry: QueueEntry): ClassQueue {
    const {name, tier} = entry.work.serviceClass;
    const existing = this.classes.get(name);
    if (existing?.tier === tier) return existing;
    if (existing !== undefined && existing.size > 0) return existing;
    const queue = {
      name,
      tier,
      lanes: new Map<string, Lane>(),
      size: 0,
    };
    this.classes.set(name, queue);
    this.byTier = [...this.classes.values()].sort((a, b) => a.tier - b.tier);
    return queue;
  }
}

function laneOf(queue: ClassQueue, key: string): Lane {
  const existing = queue.lanes.get(key);
  if (existing !== undefined) return existing;
  const lane = {
    key,
    onTime: new FairQueue<QueueEntry>(),
    late: new FairQueue<QueueEntry>(),
  };
  queue.lanes.set(key, lane);
  return lane;
}

function earlier(a: QueueEntry | undefined, b: QueueEntry | undefined) {
  if (a === undefined || b === undefined) return a ?? b;
  return b.latestStartAt < a.latestStartAt ? b : a;
}

function betterShedCandidate(
  a: QueueEntry | undefined,
  b: QueueEntry | undefined,
) {
  if (a === undefined || b === undefined) return a ?? b;
  if (a.late !== b.late) return a.late ? a : b;
  return b.latestStartAt > a.latestStartAt ? b : a;
}
