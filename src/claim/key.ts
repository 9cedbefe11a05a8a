import {createHash} from 'node:crypto';

/**
 * Number of partitions, each with a log stream of its own, that claims are
 * spread over. A key must stay in the same stream for as long as it can be
 * used, so changing this number would lose the claims of such keys.
 */
export const PARTITION_COUNT = 8;
/** Request header with the time the key was issued, in Unix ms. */
export const KEY_TIME_HEADER = 'gypsumcourse-key-time';

const ID_BYTES = 16;
const UUID_V7_PATTERN =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
/** Leading hexadecimal digits of a UUIDv7 that hold its time in Unix ms. */
const UUID_TIME_DIGITS = 12;

/** Returns the id under which an idempotency key of a workspace is claimed. */
export function claimId(workspace: string, key: string): string {
  return createHash('sha256')
    .update(`${workspace}\0${key}`)
    .digest()
    .subarray(0, ID_BYTES)
    .toString('hex');
}

/** Returns the partition, from 0, of an id that [[claimId]] returned. */
export function partitionOf(id: string): number {
  return Number.parseInt(id.slice(0, 4), 16) % PARTITION_COUNT;
}

/**
 * Returns when a key was issued, in Unix ms: the value of
 * [[KEY_TIME_HEADER]] if there is one, otherwise the time in a UUIDv7 key.
 * Returns undefined if the header is invalid or the key contains no time.
 */
export function keyIssueTime(key: string, header?: string): number | undefined {
  if (header !== undefined) {
    const time = Number(header);
    return Number.isSafeInteger(time) && time > 0 ? time : undefined;
  }
  if (!UUID_V7_PATTERN.test(key)) return undefined;
  return Number.parseInt(
    key.replaceAll('-', '').slice(0, UUID_TIME_DIGITS),
    16,
  );
}
