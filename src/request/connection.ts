import type {Dispatcher} from 'undici';
import type {Upstream} from '../upstream/index.js';
import type {Timer} from '../timer/index.js';

/** Path requested on a new connection to check it in both directions. */
const PROBE_PATH = '/load';
const PROBE_TIMEOUT_MS = 1_000;

/**
 * Opens a dedicated connection to an upstream and checks it with a probe
 * request. Returns undefined if the probe fails, times out or is aborted by
 * `signal`. The caller of this function must close the connection.
 */
export async function openProbedConnection(
  upstream: Upstream,
  timer: Timer,
  signal: AbortSignal,
): Promise<Dispatcher | undefined> {
  const client = upstream.openConnection();
  const timeout = new AbortController();
  const timeoutTimer = timer.after(PROBE_TIMEOUT_MS, () => timeout.abort());
  try {
    const response = await client.request({
      method: 'GET',
      path: PROBE_PATH,
      signal: AbortSignal.any([timeout.signal, signal]),
    });
    await response.body.dump();
    return client;
  } catch {
    void client.destroy();
    return undefined;
  } finally {
    timeoutTimer.end();
  }
}
