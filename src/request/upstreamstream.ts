import type {Dispatcher} from 'undici';
import type {Upstream} from '../upstream/index.js';
import type {Timer} from '../timer/index.js';

const CANCEL_TIMEOUT_MS = 1_000;

/** Requests the events of a buffered stream after `lastEventId`. */
export function resumeStream(
  client: Dispatcher,
  id: string,
  lastEventId: string | undefined,
  signal: AbortSignal,
): Promise<Dispatcher.ResponseData> {
  return client.request({
    method: 'GET',
    path: `/v1/streams/${encodeURIComponent(id)}`,
    headers: lastEventId === undefined ? {} : {'last-event-id': lastEventId},
    signal,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/** Asks an engine to cancel a stream. Never rejects; errors are ignored. */
export async function cancelStream(
  upstream: Upstream,
  id: string,
  timer: Timer,
): Promise<void> {
  const timeout = new AbortController();
  const timeoutTimer = timer.after(CANCEL_TIMEOUT_MS, () => timeout.abort());
  try {
    const response = await upstream.connections.request({
      method: 'POST',
      path: `/v1/streams/${encodeURIComponent(id)}/cancel`,
      signal: timeout.signal,
    });
    await response.body.dump();
  } catch {
    return;
  } finally {
    timeoutTimer.end();
  }
}
