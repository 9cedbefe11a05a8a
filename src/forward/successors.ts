import {Path} from '../relay/index.js';
import type {ForwardDependencies} from './dependencies.js';
import type {Endpoint} from './endpoint.js';
import type {Placement, PlacementRequest} from './placementrequest.js';
import type {WaitQueue} from './waitqueue.js';

/** Longest time since an upstream was heard that reads what is sent, in ms. */
const MAX_HEARD_AGE_MS = 250;
/** Share of a silence within which an upstream that isn't silent was heard. */
const MAX_HEARD_AGE_SHARE = 0.5;
/** Most upstreams that are asked at once. */
const MAX_ASKED = 3;

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
   * Asks upstreams that could take a request whether they are alive, and calls
   * `onAlive` for each that answers; one that doesn't is not asked again.
   * Returns false if there is none.
   */
  ask(request: PlacementRequest, onAlive: () => void): boolean {
    const isNew = (endpoint: Endpoint) => !this.asked.has(endpoint);
    const found = this.waitQueue.preferred(request, isNew, MAX_ASKED);
    for (const endpoint of found) void this.askOne(endpoint, onAlive);
    return this.asked.size > 0;
  }

  private async askOne(endpoint: Endpoint, onAlive: () => void): Promise<void> {
    this.asked.add(endpoint);
    // The request would take the same way.
    const isAlive = await this.dependencies.isAlive(endpoint, Path.Relayed);
    if (!isAlive) return;
    this.asked.delete(endpoint);
    onAlive();
  }
}
