import type {Dispatcher} from 'undici';
import type {Timer} from '../timer/index.js';
import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';
import type {Protocol, ResponseHead} from './protocol.js';
import type {ResponseObserver} from './responseobserver.js';

/** Time within which a live upstream must respond, in ms. */
const PROBE_TIMEOUT_MS = 500;

/** Probes whether upstreams are alive; at most one probe each at a time. */
export class LivenessProber {
  private readonly pendingProbes = new Map<Endpoint, Promise<boolean>>();

  constructor(
    private readonly timer: Timer,
    private readonly protocol: Protocol,
    private readonly observer: ResponseObserver,
  ) {}

  /**
   * Whether an upstream responds to a probe on a new connection, or closes the
   * connection, as one that has too many does. One that asked for a pause is
   * probed once during it, and else taken to be alive.
   */
  isAlive(endpoint: Endpoint): Promise<boolean> {
    const pending = this.pendingProbes.get(endpoint);
    if (pending !== undefined) return pending;
    if (!endpoint.pause.admitProbe(this.timer.now())) {
      return Promise.resolve(true);
    }
    const result = this.send(endpoint).finally(() =>
      this.pendingProbes.delete(endpoint),
    );
    this.pendingProbes.set(endpoint, result);
    return result;
  }

  private send(endpoint: Endpoint): Promise<boolean> {
    const connection = endpoint.connections.open();
    return new Promise<boolean>(resolve => {
      let finished = false;
      const finish = (alive: boolean) => {
        // The end of the probe closes its connection.
        if (finished) return;
        finished = true;
        timeout.end();
        connection.destroy();
        if (alive) endpoint.lastHeardAt = this.timer.now();
        resolve(alive);
      };
      const timeout = this.timer.after(PROBE_TIMEOUT_MS, () => finish(false));
      sendProbe(connection, this.protocol, finish, head =>
        this.observer.observe(endpoint, head),
      );
    });
  }
}

function sendProbe(
  connection: Connection,
  protocol: Protocol,
  finish: (alive: boolean) => void,
  observe: (head: ResponseHead & {status: number}) => void,
): void {
  let connected = false;
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: () => {
      connected = true;
    },
    onResponseStart: (_controller, status, headers) => {
      observe({...protocol.readResponse(status, headers), status});
      finish(true);
    },
    onResponseData: () => undefined,
    onResponseEnd: () => undefined,
    onResponseError: () => finish(connected),
  };
  connection.dispatch({method: 'GET', path: protocol.probeTarget}, handler);
}
