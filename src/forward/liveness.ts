import type {Dispatcher} from 'undici';
import type {Timer} from '../timer/index.js';
import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';

/** Time within which a live upstream must respond, in ms. */
const PROBE_TIMEOUT_MS = 500;

/** Probes whether upstreams are alive; at most one probe each at a time. */
export class LivenessProber {
  private readonly pendingProbes = new Map<Endpoint, Promise<boolean>>();

  constructor(
    private readonly timer: Timer,
    private readonly target: string,
  ) {}

  /** Whether an upstream responds to a probe on a new connection. */
  isAlive(endpoint: Endpoint): Promise<boolean> {
    const pending = this.pendingProbes.get(endpoint);
    if (pending !== undefined) return pending;
    const result = this.send(endpoint).finally(() =>
      this.pendingProbes.delete(endpoint),
    );
    this.pendingProbes.set(endpoint, result);
    return result;
  }

  private send(endpoint: Endpoint): Promise<boolean> {
    const connection = endpoint.connections.open();
    return new Promise<boolean>(resolve => {
      const finish = (alive: boolean) => {
        timeout.end();
        connection.destroy();
        if (alive) endpoint.lastHeardAt = this.timer.now();
        resolve(alive);
      };
      const timeout = this.timer.after(PROBE_TIMEOUT_MS, () => finish(false));
      sendProbe(connection, this.target, finish);
    });
  }
}

function sendProbe(
  connection: Connection,
  path: string,
  finish: (alive: boolean) => void,
): void {
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: () => undefined,
    onResponseStart: () => finish(true),
    onResponseData: () => undefined,
    onResponseEnd: () => undefined,
    onResponseError: () => finish(false),
  };
  connection.dispatch({method: 'GET', path}, handler);
}
