import {createHash} from 'node:crypto';

/**
 * Number of log streams that claims are spread over. The stream of a key must
 * not change while the key is usable, so neither must this number.
 */
export const PARTITION_COUNT = 8;
/** Header with the time a key was issued, in ms since the Unix epoch. */
export const KEY_TIME_HEADER = 'gypsumcourse-key-time';

const ID_BYTES = 16;
const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const UUID_TIME_DIGITS = 12;

/** Returns the id under which a workspace's key is claimed. */
export function claimId(workspace: string, key: string): string {
  return createHash('sha256')
    .update(`${workspace}\0${key}`)
    .digest()
    .subarray(0, ID_BYTES)
    .toString('hex');
}

/** Returns the number of the partition that a claim id belongs to. */
export function partitionOf(id: string): number {
  return Number.parseInt(id.slice(0, 4), 16) % PARTITION_COUNT;
}

/**
 * Returns when a key was issued, in wall-clock ms: the time in the header, or
 * else the time within a UUIDv7. Undefined when the key tells no time.
 */
export function keyIssueTime(key: string, header?: string): number | undefined {
  if (header !== undefined) {
    const time = Number(header);
    return Number.isSafeInteger(time) && time > 0 ? time : undefined;
  }
  if (!UUID_V7.test(key)) return undefined;
  return Number.parseInt(
    key.replaceAll('-', '').slice(0, UUID_TIME_DIGITS),
    16,
  );
}
