import type {Logger} from 'pino';
import {LogEvent} from '../telemetry/index.js';
import type {MonitoringPage} from './monitoringservers.js';

/** What the readiness of an instance depends on. */
export interface ReadinessState {
  isReady: boolean;
  /** Version of the configuration in force. */
  version: number | undefined;
  /** Whether the upstreams are known. */
  listed: boolean;
  /** Whether the instance drains. */
  leaving: boolean;
}

/** Tells whether an instance is ready, and logs each change of that. */
export class Readiness {
  private wasReady = false;

  constructor(private readonly logger: Logger) {}

  page({isReady, version, listed, leaving}: ReadinessState): MonitoringPage {
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      this.logger.info(
        {event: LogEvent.Readiness, ready: isReady, version, listed, leaving},
        isReady
          ? 'Ready for new connections.'
          : 'Not ready for new connections.',
      );
    }
    return {
      status: isReady ? 200 : 503,
      body: JSON.stringify({ready: isReady, version: version ?? null}),
    };
  }
}
