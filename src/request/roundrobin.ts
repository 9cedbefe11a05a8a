import {err, ok, type Result} from 'neverthrow';
import type {Directory, Upstream} from '../upstream/index.js';
import {Outcome, type FailureConclusion} from './outcome.js';
import type {Placement, PlacementHistory, Scheduler} from './placement.js';
import type {ParsedRequest} from './work.js';

const RETRY_AFTER_MS = 1_000;
/** Equal priorities make engines serve requests in order of arrival. */
const UNIFORM_PRIORITY = 0;

/**
 * Places each request immediately on the next available upstream in turn,
 * without a queue or limits. The baseline for benchmarks of other schedulers.
 */
export class RoundRobin implements Scheduler {
  private nextIndex = 0;

  constructor(private readonly directory: Directory) {}

  acquire(
    work: ParsedRequest,
    history: PlacementHistory,
    signal: AbortSignal,
  ): Promise<Result<Placement, FailureConclusion>> {
    const candidates = this.directory
      .candidates(work.demand)
      .filter(upstream => !history.tried.has(upstream.name));
    const upstream = candidates[this.nextIndex++ % candidates.length];
    if (upstream === undefined) {
      return Promise.resolve(
        err({
          outcome: Outcome.NotRun,
          failure: {type: 'noUpstream', retryAfterMs: RETRY_AFTER_MS},
        }),
      );
    }
    return Promise.resolve(ok(placeOn(upstream, signal)));
  }
}

function placeOn(upstream: Upstream, signal: AbortSignal): Placement {
  upstream.inflight++;
  return {
    upstream,
    priority: UNIFORM_PRIORITY,
    signal,
    firstToken: () => undefined,
    progress: () => undefined,
    release: () => {
      upstream.inflight--;
    },
  };
}
