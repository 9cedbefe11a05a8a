import type {IncomingMessage} from 'node:http';
import type {Timer} from '../timer/index.js';

/**
 * Bytes that are read of a body whose request has ended, so that callers that
 * send before they read get their answer and can keep the connection.
 */
const MAX_DISCARDED_BYTES = 256 * 1024;
/** Time after which a connection is closed whose body has not ended, in ms. */
const LINGER_MS = 1_000;

/** Reads the rest of a body whose request has ended, or closes its connection. */
export function discardRest(
  message: IncomingMessage,
  timer: Pick<Timer, 'after'>,
): void {
  if (message.destroyed || (message.complete && !message.isPaused())) return;
  let discardedBytes = 0;
  const linger = timer.after(LINGER_MS, () => message.socket.destroy());
  message.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > MAX_DISCARDED_BYTES) message.pause();
  });
  const end = () => linger.end();
  message.once('end', end);
  message.once('close', end);
  message.on('error', () => undefined);
  message.resume();
}
