import type {Client} from 'undici';
import type {Upstream} from '../upstream/index.js';
import type {Timer} from '../timer/index.js';

/** Path asked on a new connection to see that both directions work. */
const PROBE_PATH = '/load';
const PROBE_TIMEOUT_MS = 1_000;

/**
 * Opens a connection of its own to an upstream and sees an answer arrive on
 * it. Returns undefined when the upstream gives none in time; then nothing of
 * the request has been sent. The caller closes the connection.
 */
export async function openProbedConnection(
  upstream: Upstream,
  timer: Timer,
  signal: AbortSignal,
): Promise<Client | undefined> {
  const client = upstream.openConnection();
  const limit = new AbortController();
  const alarm = timer.after(PROBE_TIMEOUT_MS, () => limit.abort());
  try {
    const answer = await client.request({
      method: 'GET',
      path: PROBE_PATH,
      signal: AbortSignal.any([limit.signal, signal]),
    });
    await answer.body.dump();
    return client;
  } catch {
    void client.destroy();
    return undefined;
  } finally {
    alarm.end();
  }
}
