/** A handle that ends a subscription to a [[Timer]]. Ending it twice is safe. */
export interface Subscription {
  end(): void;
}

/**
 * The one source of time. Parts take a timer when they are constructed and
 * subscribe to it, so that tests can drive them with a [[ManualTimer]].
 */
export interface Timer {
  /** Monotonic time in milliseconds. Its zero has no meaning. */
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

function sleepWith(
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

/** The timer of a running process, on the system's clocks. */
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

interface ScheduledCall {
  dueAt: number;
  sequence: number;
  listener: () => void;
}

/** A timer that moves only when [[ManualTimer.advance]] is called. */
export class ManualTimer implements Timer {
  private currentMs = 0;
  private nextSequence = 0;
  private scheduledCalls: ScheduledCall[] = [];

  constructor(private readonly wallStart = Date.UTC(2026, 0, 1)) {}

  now(): number {
    return this.currentMs;
  }

  wallNow(): number {
    return this.wallStart + this.currentMs;
  }

  after(delayMs: number, listener: () => void): Subscription {
    const call = {
      dueAt: this.currentMs + Math.max(0, delayMs),
      sequence: this.nextSequence++,
      listener,
    };
    this.scheduledCalls.push(call);
    return {
      end: () => {
        this.scheduledCalls = this.scheduledCalls.filter(
          other => other !== call,
        );
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

  /** Moves time on by `ms` and calls every listener that falls due, in order. */
  async advance(ms: number): Promise<void> {
    const endMs = this.currentMs + ms;
    for (;;) {
      const due = this.scheduledCalls
        .filter(call => call.dueAt <= endMs)
        .sort((a, b) => a.dueAt - b.dueAt || a.sequence - b.sequence)[0];
      if (due === undefined) break;
      this.scheduledCalls = this.scheduledCalls.filter(call => call !== due);
      this.currentMs = Math.max(this.currentMs, due.dueAt);
      due.listener();
      await new Promise(resolve => setImmediate(resolve));
    }
    this.currentMs = endMs;
    await new Promise(resolve => setImmediate(resolve));
  }
}
