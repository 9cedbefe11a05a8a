import {err, ok, type Result} from 'neverthrow';
import type {Directory, Upstream} from '../upstream/index.js';
import {Outcome, type FailureConclusion} from './outcome.js';
import type {Placement, PlacementHistory, Scheduler} from './placement.js';
import type {ParsedRequest} from './work.js';

const RETRY_AFTER_MS = 1_000;
/** The same for all, so that engines serve first come, first served. */
const FIRST_COME_PRIORITY = 0;

/**
 * Places each request at once on the next live upstream in turn. The baseline
 * that other schedulers are measured against.
 */
export class RoundRobin implements Scheduler {
  private turn = 0;

  constructor(private readonly directory: Directory) {}

  acquire(
    work: ParsedRequest,
    history: PlacementHistory,
    signal: AbortSignal,
  ): Promise<Result<Placement, FailureConclusion>> {
    const candidates = this.directory
      .candidates(work.demand)
      .filter(upstream => !history.tried.has(upstream.name));
    const upstream = candidates[this.turn++ % candidates.length];
    if (upstream === undefined) {
      return Promise.resolve(
        err({
          outcome: Outcome.NotRun,
          failure: {type: 'noUpstream', retryAfterMs: RETRY_AFTER_MS},
        }),
      );
    }
    return Promise.resolve(ok(place(upstream, signal)));
  }
}

function place(upstream: Upstream, signal: AbortSignal): Placement {
  upstream.inflight++;
  return {
    upstream,
    priority: FIRST_COME_PRIORITY,
    signal,
    firstToken: () => undefined,
    progress: () => undefined,
    release: () => {
      upstream.inflight--;
    },
  };
}
