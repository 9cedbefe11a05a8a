import type {Dispatcher} from 'undici';
import type {Timer} from '../timer/index.js';
import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';

/** Time in which an upstream that is there answers, in ms. */
const PROBE_TIMEOUT_MS = 500;

/** Asks upstreams whether they are there, one question at a time each. */
export class LivenessProber {
  private readonly running = new Map<Endpoint, Promise<boolean>>();

  constructor(
    private readonly timer: Timer,
    private readonly target: string,
  ) {}

  /** Whether an upstream answers on a connection of its own. */
  isAlive(endpoint: Endpoint): Promise<boolean> {
    const known = this.running.get(endpoint);
    if (known !== undefined) return known;
    const answer = this.send(endpoint).finally(() =>
      this.running.delete(endpoint),
    );
    this.running.set(endpoint, answer);
    return answer;
  }

  private send(endpoint: Endpoint): Promise<boolean> {
    const connection = endpoint.connections.open();
    return new Promise<boolean>(resolve => {
      const end = (alive: boolean) => {
        alarm.end();
        connection.destroy();
        if (alive) endpoint.lastHeardAt = this.timer.now();
        resolve(alive);
      };
      const alarm = this.timer.after(PROBE_TIMEOUT_MS, () => end(false));
      ask(connection, this.target, end);
    });
  }
}

function ask(
  connection: Connection,
  path: string,
  end: (alive: boolean) => void,
): void {
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: () => undefined,
    onResponseStart: () => end(true),
    onResponseData: () => undefined,
    onResponseEnd: () => undefined,
    onResponseError: () => end(false),
  };
  connection.dispatch({method: 'GET', path}, handler);
}
