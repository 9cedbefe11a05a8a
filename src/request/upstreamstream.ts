import type {Client, Dispatcher} from 'undici';
import type {Upstream} from '../upstream/index.js';
import type {Timer} from '../timer/index.js';

const CANCEL_TIMEOUT_MS = 1_000;

/** Asks an engine to go on with a stream it holds, after an event. */
export function resumeStream(
  client: Client,
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

/** Tells an engine that nobody wants a stream any more. Never fails. */
export async function cancelStream(
  upstream: Upstream,
  id: string,
  timer: Timer,
): Promise<void> {
  const limit = new AbortController();
  const alarm = timer.after(CANCEL_TIMEOUT_MS, () => limit.abort());
  try {
    const answer = await upstream.connections.request({
      method: 'POST',
      path: `/v1/streams/${encodeURIComponent(id)}/cancel`,
      signal: limit.signal,
    });
    await answer.body.dump();
  } catch {
    return;
  } finally {
    alarm.end();
  }
}
