import {LogEvent} from '../telemetry/logevent.js';
import type {ForwardDependencies} from './dependencies.js';
import type {RequestContext} from './requestcontext.js';

/** Tells whether a request is kept back for a part that crashes upstreams. */
export class HoldCheck {
  /** Whether the request tries the held parts that it has. */
  private readonly isTrial: boolean;
  private hasLogged = false;

  constructor(
    private readonly dependencies: ForwardDependencies,
    private readonly context: RequestContext,
  ) {
    this.isTrial = dependencies.promptGuard.beginTrial(context.parts);
  }

  /** See [[PlacementRequest.isRationed]]. */
  isRationed(): boolean {
    if (this.isTrial) return false;
    const {promptGuard} = this.dependencies;
    return promptGuard.rationed(this.context.parts).length > 0;
  }

  /** Whether the request, or a part of its prompt, crashes upstreams. */
  isHeld(): boolean {
    if (this.isTrial) return false;
    const {request, parts} = this.context;
    const {promptGuard, logger, timer} = this.dependencies;
    const hold = promptGuard.holdOf(parts);
    if (hold === undefined) return false;
    // While its upstream is silent, this is asked again and again.
    if (this.hasLogged) return true;
    this.hasLogged = true;
    const {part, revision, crashes, decidedAt} = hold;
    logger.info(
      {
        event: LogEvent.Held,
        request: request.id,
        prompt: part,
        revision,
        crashes,
        ageMs: Math.round(timer.wallNow() - decidedAt),
      },
      'Not forwarded: the request or a part of its prompt crashes upstreams.',
    );
    return true;
  }
}
