/** Matches a transfer encoding that delimits the body. */
const CHUNKED = /(?:^|,)\s*chunked\s*$/i;
/** Statuses of answers that never have a body. */
const BODILESS_STATUSES = new Set([204, 304]);
/** Matches the types of JSON documents, such as `application/problem+json`. */
const JSON_TYPE = /^application\/(?:[^;]+\+)?json\s*(?:;|$)/i;

/**
 * Whether the head of an answer to `method` tells where the answer ends. If it
 * doesn't, the end of the connection does, and a part looks like the whole.
 */
export function isFramed(
  method: string,
  status: number,
  headers: Record<string, string | string[] | undefined>,
): boolean {
  return (
    method === 'HEAD' ||
    BODILESS_STATUSES.has(status) ||
    headers['content-length'] !== undefined ||
    CHUNKED.test(String(headers['transfer-encoding'] ?? ''))
  );
}

/** Whether a content type is that of a JSON document. */
export function isJsonType(contentType: string): boolean {
  return JSON_TYPE.test(contentType);
}

/**
 * Whether bytes are a JSON document that is not a part of a longer one. The
 * first digits of a number are a number too, so that a number alone isn't.
 */
export function isWholeJson(bytes: Buffer): boolean {
  try {
    return typeof JSON.parse(bytes.toString('utf8')) !== 'number';
  } catch {
    return false;
  }
}
