import {connect} from 'node:net';
import type {Dispatcher} from 'undici';
import type {Timer} from '../timer/index.js';
import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';
import type {Protocol, ResponseHead} from './protocol.js';
import type {ResponseObserver} from './responseobserver.js';

/** Time within which a live upstream must respond, in ms. */
const PROBE_TIMEOUT_MS = 500;

/** What a probe shows of an upstream. */
export enum ProbeResult {
  /** It responded, or closed the connection after it had accepted it. */
  Alive = 'alive',
  /** Its address refuses connections: no process listens there. */
  Refused = 'refused',
  /** There was no response in time. */
  Silent = 'silent',
}

/** Probes whether upstreams are alive; at most one probe each at a time. */
export class LivenessProber {
  private readonly pendingProbes = new Map<Endpoint, Promise<ProbeResult>>();

  constructor(
    private readonly timer: Timer,
    private readonly protocol: Protocol,
    private readonly observer: ResponseObserver,
  ) {}

  /**
   * Whether an upstream responds to a probe on a new connection, or closes the
   * connection, as one that has too many does. One that asked for a pause is
   * probed once during it, and else taken to be alive. One whose declared rate
   * admits no request is alive if it accepts a connection.
   */
  async isAlive(endpoint: Endpoint): Promise<boolean> {
    return (await this.probe(endpoint)) === ProbeResult.Alive;
  }

  /** Probes an upstream; see [[isAlive]]. */
  probe(endpoint: Endpoint): Promise<ProbeResult> {
    const pending = this.pendingProbes.get(endpoint);
    if (pending !== undefined) return pending;
    if (!endpoint.pause.admitProbe(this.timer.now())) {
      return Promise.resolve(ProbeResult.Alive);
    }
    const mayAsk = endpoint.limit.take(this.timer.now());
    const probe = mayAsk ? this.send(endpoint) : this.connect(endpoint);
    const result = probe.finally(() => this.pendingProbes.delete(endpoint));
    this.pendingProbes.set(endpoint, result);
    return result;
  }

  /** Opens a connection, and closes it without a request. */
  private connect({entry, connections}: Endpoint): Promise<ProbeResult> {
    const {host, port} = entry;
    const {localAddress} = connections;
    return new Promise(resolve => {
      const socket = connect({host, port, localAddress});
      const finish = (result: ProbeResult) => {
        timeout.end();
        socket.destroy();
        resolve(result);
      };
      const timeout = this.timer.after(PROBE_TIMEOUT_MS, () =>
        finish(ProbeResult.Silent),
      );
      socket.once('connect', () => finish(ProbeResult.Alive));
      socket.once('error', (error: NodeJS.ErrnoException) =>
        finish(resultOf(error)),
      );
    });
  }

  private send(endpoint: Endpoint): Promise<ProbeResult> {
    const connection = endpoint.connections.open();
    return new Promise(resolve => {
      let finished = false;
      const finish = (result: ProbeResult) => {
        // The end of the probe closes its connection.
        if (finished) return;
        finished = true;
        timeout.end();
        connection.destroy();
        if (result === ProbeResult.Alive) {
          endpoint.lastHeardAt = this.timer.now();
        }
        resolve(result);
      };
      const timeout = this.timer.after(PROBE_TIMEOUT_MS, () =>
        finish(ProbeResult.Silent),
      );
      sendProbe(connection, this.protocol, finish, head =>
        this.observer.observe(endpoint, head),
      );
    });
  }
}

/** What a connection shows that could not be opened. */
function resultOf({code}: NodeJS.ErrnoException): ProbeResult {
  return code === 'ECONNREFUSED' ? ProbeResult.Refused : ProbeResult.Silent;
}

function sendProbe(
  connection: Connection,
  protocol: Protocol,
  finish: (result: ProbeResult) => void,
  observe: (head: ResponseHead & {status: number}) => void,
): void {
  let connected = false;
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: () => {
      connected = true;
    },
    onResponseStart: (_controller, status, headers) => {
      observe({...protocol.readResponse(status, headers), status});
      finish(ProbeResult.Alive);
    },
    onResponseData: () => undefined,
    onResponseEnd: () => undefined,
    onResponseError: (_controller, error: NodeJS.ErrnoException) => {
      finish(connected ? ProbeResult.Alive : resultOf(error));
    },
  };
  connection.dispatch({method: 'GET', path: protocol.probeTarget}, handler);
}
