import type {Logger} from 'pino';
import {LogEvent} from '../telemetry/logevent.js';
import type {Timer} from '../timer/index.js';
import type {Endpoint} from './endpoint.js';
import type {Endpoints} from './endpoints.js';
import type {ResponseHead} from './protocol.js';

/** Dependencies of [[ResponseObserver]]. */
export interface ResponseObserverParts {
  endpoints: Endpoints;
  timer: Timer;
  logger: Logger;
}

/** Records what upstreams say of themselves in the heads of responses. */
export class ResponseObserver {
  private leaveNotices = 0;

  constructor(private readonly parts: ResponseObserverParts) {}

  /** Gauges and counters of /metrics, by name. */
  gauges(): Record<string, number> {
    return {
      upstreams_leaving: this.parts.endpoints.countLeaving(),
      leave_notices_total: this.leaveNotices,
    };
  }

  /** Handles the head of a response, including one to a liveness probe. */
  observe(endpoint: Endpoint, head: ResponseHead): void {
    const {endpoints, timer} = this.parts;
    if (!head.leaving || !endpoints.noteLeaving(endpoint, timer.now())) return;
    this.leaveNotices++;
    this.parts.logger.info(
      {
        event: LogEvent.Leaving,
        upstream: endpoint.id,
        source: 'answer',
        request: head.request,
        startedAt: endpoint.entry.startedAt,
        inflight: endpoint.ownLoad.view(timer.now()).inflight,
      },
      'Upstream announced in a response that it leaves; it gets no new requests.',
    );
  }
}
