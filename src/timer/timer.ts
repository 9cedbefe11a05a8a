/** A subscription to a [[Timer]]. */
export interface Subscription {
  /** Ends the subscription; further calls have no effect. */
  end(): void;
}

/**
 * The only source of time. Components get a timer when they are constructed, so
 * that tests can drive them with a [[ManualTimer]].
 */
export interface Timer {
  /** Monotonic time in milliseconds since an arbitrary origin. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallNow(): number;
  /** Calls `listener` once after `delayMs`. */
  after(delayMs: number, listener: () => void): Subscription;
  /** Calls `listener` every `periodMs` until the subscription ends. */
  every(periodMs: number, listener: () => void): Subscription;
  /** Resolves after `delayMs`, or early when `signal` aborts. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** Implements [[Timer.sleep]] by [[Timer.after]]. */
export function sleepWith(
  timer: Timer,
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = () => {
      subscription.end();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const subscription = timer.after(delayMs, finish);
    signal?.addEventListener('abort', finish, {once: true});
  });
}

/** A timer that uses the system's clocks. */
export class SystemTimer implements Timer {
  now(): number {
    return performance.now();
  }

  wallNow(): number {
    return Date.now();
  }

  after(delayMs: number, listener: () => void): Subscription {
    const handle = setTimeout(listener, delayMs);
    return {end: () => clearTimeout(handle)};
  }

  every(periodMs: number, listener: () => void): Subscription {
    const handle = setInterval(listener, periodMs);
    return {end: () => clearInterval(handle)};
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return sleepWith(this, delayMs, signal);
  }
}

/** A call that a [[ManualTimer]] has yet to make. */
interface ScheduledCall {
  dueAt: number;
  /** Orders calls that are due at the same time. */
  sequence: number;
  /** Undefined once the call was cancelled. */
  listener?: () => void;
}

/** Whether `a` is made before `b`. */
function precedes(a: ScheduledCall, b: ScheduledCall): boolean {
  return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.sequence < b.sequence);
}

/** Scheduled calls as a binary heap, the next one first. */
class ScheduledCalls {
  private readonly heap: ScheduledCall[] = [];

  get next(): ScheduledCall | undefined {
    return this.heap[0];
  }

  add(call: ScheduledCall): void {
    const {heap} = this;
    let index = heap.length;
    heap.push(call);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex];
      if (parent === undefined || !precedes(call, parent)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = call;
  }

  removeNext(): void {
    const {heap} = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let childIndex = 2 * index + 1;
      let child = heap[childIndex];
      const right = heap[childIndex + 1];
      if (
        child !== undefined &&
        right !== undefined &&
        precedes(right, child)
      ) {
        childIndex++;
        child = right;
      }
      if (child === undefined || !precedes(child, last)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
  }
}

/** A timer whose time advances only by [[ManualTimer.advance]]. */
export class ManualTimer implements Timer {
  private currentMs = 0;
  private nextSequence = 0;
  private readonly scheduledCalls = new ScheduledCalls();

  constructor(private readonly wallStart = Date.UTC(2026, 0, 1)) {}

  now(): number {
    return this.currentMs;
  }

  wallNow(): number {
    return this.wallStart + this.currentMs;
  }

  after(delayMs: number, listener: () => void): Subscription {
    const call: ScheduledCall = {
      dueAt: this.currentMs + Math.max(0, delayMs),
      sequence: this.nextSequence++,
      listener,
    };
    this.scheduledCalls.add(call);
    return {
      end: () => {
        delete call.listener;
      },
    };
  }

  every(periodMs: number, listener: () => void): Subscription {
    let ended = false;
    let next: Subscription;
    const tick = () => {
      listener();
      if (!ended) next = this.after(periodMs, tick);
    };
    next = this.after(periodMs, tick);
    return {
      end: () => {
        ended = true;
        next.end();
      },
    };
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return sleepWith(this, delayMs, signal);
  }

  /**
   * Advances time by `ms` and calls every listener that becomes due, in order.
   * Runs pending promise callbacks after each.
   */
  async advance(ms: number): Promise<void> {
    const endMs = this.currentMs + ms;
    for (;;) {
      const due = this.scheduledCalls.next;
      if (due === undefined || due.dueAt > endMs) break;
      this.scheduledCalls.removeNext();
      const {listener} = due;
      if (listener === undefined) continue;
      this.currentMs = Math.max(this.currentMs, due.dueAt);
      listener();
      await new Promise(resolve => setImmediate(resolve));
    }
    this.currentMs = endMs;
    await new Promise(resolve => setImmediate(resolve));
  }
}
