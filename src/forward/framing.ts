import type {ResponseHeaders} from './protocol.js';

/** Matches a transfer encoding that delimits the body. */
const CHUNKED = /(?:^|,)\s*chunked\s*$/i;
/** Statuses of answers that never have a body. */
const BODILESS = new Set([204, 304]);

/** Whether HTTP delimits the body of a response, rather than its connection. */
export function isFramed(
  method: string,
  status: number,
  headers: ResponseHeaders,
): boolean {
  return (
    method === 'HEAD' ||
    BODILESS.has(status) ||
    headers['content-length'] !== undefined ||
    CHUNKED.test(String(headers['transfer-encoding'] ?? ''))
  );
}
