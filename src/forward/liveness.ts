import type {Dispatcher} from 'undici';
import type {Timer} from '../timer/index.js';
import {Path} from '../relay/index.js';
import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';
import type {Protocol, ResponseHead} from './protocol.js';
import type {ResponseObserver} from './responseobserver.js';

/** Time within which a live upstream must respond, in ms. */
const PROBE_TIMEOUT_MS = 500;

/** What a probe shows of an upstream. */
export enum ProbeResult {
  /** It responded, or could not be asked and accepted a connection. */
  Alive = 'alive',
  /** It closed the connection after it had accepted it. */
  Closed = 'closed',
  /** Its address refuses connections: no process listens there. */
  Refused = 'refused',
  /** There was no response in time. */
  Silent = 'silent',
}

/** Probes whether upstreams are alive; at most one probe each at a time. */
export class LivenessProber {
  private readonly pendingProbes: Record<
    Path,
    Map<Endpoint, Promise<ProbeResult>>
  > = {[Path.Direct]: new Map(), [Path.Relayed]: new Map()};

  constructor(
    private readonly timer: Timer,
    private readonly protocol: Protocol,
    private readonly observer: ResponseObserver,
  ) {}

  /**
   * Whether an upstream responds to a probe on a new connection, or closes the
   * connection, as one that has too many does. One that asked for a pause is
   * probed once during it, and else taken to be alive. One whose declared rate
   * admits no request is alive if it accepts a connection. With
   * `Path.Relayed`, the probe may pass through another instance.
   */
  async isAlive(endpoint: Endpoint, path = Path.Direct): Promise<boolean> {
    return showsLife(await this.probe(endpoint, path));
  }

  /** Whether an upstream responds directly; one in a pause isn't asked. */
  async answers(endpoint: Endpoint): Promise<boolean> {
    const isPaused = endpoint.pause.remainingMs(this.timer.now()) > 0;
    const result = await (isPaused
      ? this.connect(endpoint, Path.Direct)
      : this.probe(endpoint));
    return result === ProbeResult.Alive;
  }

  /** Whether the address of an upstream refuses connections. */
  async refuses(endpoint: Endpoint, path: Path): Promise<boolean> {
    return (await this.connect(endpoint, path)) === ProbeResult.Refused;
  }

  /** Probes an upstream, by default directly; see [[isAlive]]. */
  probe(endpoint: Endpoint, path = Path.Direct): Promise<ProbeResult> {
    const pendingProbes = this.pendingProbes[path];
    const pending = pendingProbes.get(endpoint);
    if (pending !== undefined) return pending;
    if (!endpoint.pause.admitProbe(this.timer.now())) {
      return Promise.resolve(ProbeResult.Alive);
    }
    const mayAsk = endpoint.limit.take(this.timer.now());
    const probe = mayAsk
      ? this.send(endpoint, path)
      : this.connect(endpoint, path);
    const result = probe.finally(() => pendingProbes.delete(endpoint));
    pendingProbes.set(endpoint, result);
    return result;
  }

  /** Opens a connection, and closes it without a request. */
  private connect({connections}: Endpoint, path: Path): Promise<ProbeResult> {
    return new Promise(resolve => {
      const timeout = this.timer.after(PROBE_TIMEOUT_MS, () =>
        resolve(ProbeResult.Silent),
      );
      connections.dial(path, result => {
        timeout.end();
        if (result.isOk()) result.value.socket.destroy();
        resolve(result.isOk() ? ProbeResult.Alive : resultOf(result.error));
      });
    });
  }

  private send(endpoint: Endpoint, path: Path): Promise<ProbeResult> {
    const {connections} = endpoint;
    const connection =
      path === Path.Direct ? connections.openDirectly() : connections.open();
    return new Promise(resolve => {
      let finished = false;
      const finish = (result: ProbeResult) => {
        // The end of the probe closes its connection.
        if (finished) return;
        finished = true;
        timeout.end();
        connection.destroy();
        if (showsLife(result)) {
          endpoint.noteHeard(connection.path, this.timer.now());
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

/** Whether a process listens at the address of an upstream. */
export function showsLife(result: ProbeResult): boolean {
  return result === ProbeResult.Alive || result === ProbeResult.Closed;
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
      finish(connected ? ProbeResult.Closed : resultOf(error));
    },
  };
  connection.dispatch({method: 'GET', path: protocol.probeTarget}, handler);
}
