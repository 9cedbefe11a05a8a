/** Upstreams that must fail within the window before an instance suspects itself. */
const MIN_FAILED_UPSTREAMS = 2;
/** Time for which a failure counts, in ms. */
const FAILURE_WINDOW_MS = 2_000;

/** By which way connections to an upstream are opened. */
export enum Path {
  Direct = 'direct',
  /** Through another instance. */
  Relayed = 'relayed',
}

/** Whether this instance is cut off from all upstreams of a service. */
export enum Isolation {
  None = 'none',
  /** Several upstreams can't be reached, and none has sent anything since. */
  Suspected = 'suspected',
  /** Peers reach upstreams that this instance does not reach. */
  Confirmed = 'confirmed',
}

/**
 * What an instance believes of its own links to the upstreams of a service.
 * Without input and output: it is told what connections showed, with monotonic
 * times in ms.
 *
 * An upstream that is down fails for peers as well, so the belief needs both: no
 * direct connection works, as a trial confirms, and a peer has opened one.
 */
export class Reachability {
  /** When direct connections last failed, by upstream. */
  private readonly failedAt = new Map<string, number>();
  /** Upstreams that peers reach and this instance does not. */
  private readonly relayed = new Set<string>();
  private suspectedAt = 0;
  private haveTrialsFailed = false;
  private hasPeerReached = false;
  private state = Isolation.None;

  get isolation(): Isolation {
    return this.state;
  }

  /** Upstreams to which the direct way is to be tried again. */
  get untrusted(): readonly string[] {
    return [...new Set([...this.relayed, ...this.failedAt.keys()])];
  }

  get relayedCount(): number {
    return this.relayed.size;
  }

  pathTo(upstream: string, now: number): Path {
    this.expire(now);
    return this.state !== Isolation.None || this.relayed.has(upstream)
      ? Path.Relayed
      : Path.Direct;
  }

  /** Notes that bytes came from any upstream over a direct connection. */
  noteBytes(): void {
    // Bytes that were under way at the cut may still come.
    if (this.state === Isolation.Confirmed || this.failedAt.size === 0) return;
    this.reset();
  }

  /**
   * Notes that no direct connection could be opened to an upstream, or that it
   * ended without an answer. `known`: number of all upstreams. Returns whether
   * the instance has begun to suspect that it is isolated.
   */
  noteFailure(upstream: string, known: number, now: number): boolean {
    this.expire(now);
    this.failedAt.set(upstream, now);
    const needed = Math.min(MIN_FAILED_UPSTREAMS, known);
    if (this.state !== Isolation.None || this.failedAt.size < needed) {
      return false;
    }
    this.state = Isolation.Suspected;
    this.suspectedAt = now;
    return true;
  }

  /** Notes that a direct connection was opened later than others are. */
  noteConnected(upstream: string): void {
    this.failedAt.delete(upstream);
  }

  /** Notes that a peer has opened a connection to an upstream. */
  notePeerReached(upstream: string): void {
    if (this.failedAt.has(upstream)) this.relayed.add(upstream);
    if (this.state !== Isolation.Suspected) return;
    this.hasPeerReached = true;
    this.confirm();
  }

  /** Notes that direct trials of upstreams have all failed. */
  noteTrialsFailed(): void {
    if (this.state !== Isolation.Suspected) return;
    this.haveTrialsFailed = true;
    this.confirm();
  }

  /** Notes that an upstream has answered a direct trial. */
  noteReached(upstream: string): void {
    if (this.state === Isolation.Confirmed) this.relayed.clear();
    this.relayed.delete(upstream);
    this.reset();
  }

  /** Forgets upstreams that are no longer known. */
  retain(isKnown: (upstream: string) => boolean): void {
    for (const upstream of this.untrusted) {
      if (isKnown(upstream)) continue;
      this.relayed.delete(upstream);
      this.failedAt.delete(upstream);
    }
  }

  private confirm(): void {
    if (!this.haveTrialsFailed || !this.hasPeerReached) return;
    this.state = Isolation.Confirmed;
  }

  private reset(): void {
    this.failedAt.clear();
    this.state = Isolation.None;
    this.haveTrialsFailed = false;
    this.hasPeerReached = false;
  }

  /** Forgets old failures, and a suspicion that no peer has confirmed. */
  private expire(now: number): void {
    if (this.state === Isolation.Confirmed) return;
    const isStale = now - this.suspectedAt > FAILURE_WINDOW_MS;
    if (this.state === Isolation.Suspected && isStale) this.reset();
    for (const [upstream, at] of this.failedAt) {
      if (now - at > FAILURE_WINDOW_MS) this.failedAt.delete(upstream);
    }
  }
}
