import {LogEvent} from '../telemetry/logevent.js';
import type {ForwardDependencies} from './dependencies.js';
import type {PlacementRequest, PlacementResult} from './placementrequest.js';
import {NotRunCause, RATIONED_RETRY_MS} from './refusal.js';
import type {RequestContext} from './requestcontext.js';

/** Time between two looks whether there is a turn, in ms. */
const POLL_MS = 25;
/** Share of the time left that a request may wait; the rest is to serve it. */
const MAX_WAIT_SHARE = 0.5;

/**
 * Places a request with a part of which requests are forwarded one at a time.
 * It waits apart from the others: what it would need isn't load.
 */
export class RationedPlacement {
  private hasLogged = false;

  constructor(
    private readonly dependencies: Pick<
      ForwardDependencies,
      'logger' | 'promptGuard' | 'timer'
    >,
    private readonly context: RequestContext,
  ) {}

  /** Resolves to undefined if the request isn't rationed, or not any more. */
  async place(request: PlacementRequest): Promise<PlacementResult | undefined> {
    if (!request.isRationed()) return undefined;
    const {timer} = this.dependencies;
    const startedAt = timer.now();
    const leftMs = request.deadlineAt - startedAt;
    this.log(request, leftMs);
    while (request.isRationed() && !request.isHeld()) {
      if (request.signal.aborted) return {type: 'gone'};
      const placement = this.placeInTurn(request);
      if (placement !== undefined) return placement;
      if (timer.now() - startedAt >= leftMs * MAX_WAIT_SHARE) {
        return {
          type: 'notRun',
          cause: NotRunCause.Rationed,
          retryAfterMs: RATIONED_RETRY_MS,
        };
      }
      await timer.sleep(POLL_MS, request.signal);
    }
    return undefined;
  }

  /** Places it if there is a turn and an upstream that takes it now. */
  private placeInTurn(request: PlacementRequest): PlacementResult | undefined {
    const {promptGuard} = this.dependencies;
    const {parts, service} = this.context;
    if (!promptGuard.hasTurn(parts)) return undefined;
    const placement = service.waitQueue.placeNow(
      {...request, isRationed: () => false},
      () => true,
    );
    if (placement === undefined) return undefined;
    promptGuard.takeTurn(parts);
    return {type: 'placed', ...placement};
  }

  private log({requestId}: PlacementRequest, leftMs: number): void {
    if (this.hasLogged) return;
    this.hasLogged = true;
    const {logger, promptGuard} = this.dependencies;
    logger.info(
      {
        event: LogEvent.Rationed,
        request: requestId,
        prompts: promptGuard.rationed(this.context.parts),
        leftMs: Math.round(leftMs),
      },
      'The request waits for a turn: a part of its prompt may crash upstreams.',
    );
  }
}
