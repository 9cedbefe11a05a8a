import {Path} from '../relay/index.js';
import type {ForwardDependencies} from './dependencies.js';
import type {Endpoint} from './endpoint.js';
import {
  withheldFor,
  type Placement,
  type PlacementRequest,
} from './placementrequest.js';
import type {WaitQueue} from './waitqueue.js';

/** Longest time since an upstream was heard that reads what is sent, in ms. */
const MAX_HEARD_AGE_MS = 250;
/** Share of a silence within which an upstream that isn't silent was heard. */
const MAX_HEARD_AGE_SHARE = 0.5;
/** Most upstreams that are asked at once. */
const MAX_ASKED = 3;
/** Time after which others are asked, too, in ms. */
const ASK_PERIOD_MS = 100;

/** Whether an upstream was heard lately, and not only before a silence. */
export function isHeard(
  {lastHeardAt}: Pick<Endpoint, 'lastHeardAt'>,
  silentMs: number,
  now: number,
): boolean {
  const maxAgeMs = Math.min(MAX_HEARD_AGE_MS, silentMs * MAX_HEARD_AGE_SHARE);
  return now - lastHeardAt <= maxAgeMs;
}

/**
 * Finds upstreams that read what is sent to them, to take a request over. A
 * whole service may fall silent; bytes for a silent upstream are read when it
 * goes on, when their request may be over.
 */
export class Successors {
  /** Upstreams that were asked and have not answered. */
  private readonly asked = new Set<Endpoint>();
  /** Questions that may still be answered. */
  private pending = 0;

  constructor(
    private readonly dependencies: Pick<
      ForwardDependencies,
      'timer' | 'isAlive'
    >,
    private readonly waitQueue: Pick<WaitQueue, 'placeNow' | 'preferred'>,
  ) {}

  /** Places a request on an upstream that was heard during the silence. */
  place(request: PlacementRequest, silentMs: number): Placement | undefined {
    const now = this.dependencies.timer.now();
    return this.waitQueue.placeNow(request, endpoint =>
      isHeard(endpoint, silentMs, now),
    );
  }

  /**
   * Places a request that was first sent `sinceFirstMs` ms ago on an upstream
   * that was heard since, or that is asked and answers; those that would be
   * chosen are asked first. Resolves to undefined if none answers.
   */
  async placeLate(
    request: PlacementRequest,
    sinceFirstMs: number,
  ): Promise<Placement | undefined> {
    if (!this.isPreferredHeard(request, sinceFirstMs)) {
      await this.askAndWait(request);
    }
    while (!request.signal.aborted && withheldFor(request) === undefined) {
      const placement = this.place(request, sinceFirstMs);
      if (placement !== undefined) return placement;
      if (!(await this.askAndWait(request))) return undefined;
    }
    return undefined;
  }

  /** Whether the upstream that would be chosen for a request was heard lately. */
  private isPreferredHeard(
    request: PlacementRequest,
    silentMs: number,
  ): boolean {
    const [preferred] = this.waitQueue.preferred(request, () => true, 1);
    if (preferred === undefined) return true;
    return isHeard(preferred, silentMs, this.dependencies.timer.now());
  }

  /** Waits a while for answers; false if there is nothing to wait for. */
  private async askAndWait(request: PlacementRequest): Promise<boolean> {
    const answered = new Promise<void>(resolve => this.ask(request, resolve));
    if (this.pending === 0) return false;
    const {timer} = this.dependencies;
    await Promise.race([answered, timer.sleep(ASK_PERIOD_MS)]);
    return true;
  }

  /**
   * Asks upstreams that could take a request whether they are alive, and calls
   * `onAlive` for each that answers; one that doesn't is not asked again.
   */
  ask(request: PlacementRequest, onAlive: () => void): void {
    const isNew = (endpoint: Endpoint) => !this.asked.has(endpoint);
    const found = this.waitQueue.preferred(request, isNew, MAX_ASKED);
    for (const endpoint of found) void this.askOne(endpoint, onAlive);
  }

  /** Whether one was asked that has not answered. */
  get awaitsAnswer(): boolean {
    return this.asked.size > 0;
  }

  private async askOne(endpoint: Endpoint, onAlive: () => void): Promise<void> {
    const {timer, isAlive} = this.dependencies;
    this.asked.add(endpoint);
    this.pending++;
    // The request would take the same way.
    const alive = await isAlive(endpoint, Path.Relayed);
    this.pending--;
    // One may count as alive without having been asked.
    if (!alive || !isHeard(endpoint, Infinity, timer.now())) return;
    this.asked.delete(endpoint);
    onAlive();
  }
}
