import xxhash from 'xxhash-wasm';
import type {RequestHead} from './protocol.js';

const hasher = await xxhash();

/**
 * Identifies what an upstream is sent: the same method, host, path, query, caller
 * and body give the same digest, whatever the id of the request.
 */
export function digestOf(
  {method, host, target}: Pick<RequestHead, 'method' | 'host' | 'target'>,
  body: Buffer,
  workspace?: string,
): string {
  const head = JSON.stringify([method, host, target, workspace ?? null]);
  const bodyHash = hasher.h64Raw(body).toString(16).padStart(16, '0');
  return hasher.h64ToString(head) + bodyHash;
}
