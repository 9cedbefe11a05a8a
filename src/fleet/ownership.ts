import xxhash from 'xxhash-wasm';
import {ZONE_PREFIX} from './message.js';

const hasher = await xxhash();

/**
 * Whether this instance is the one of the fleet that acts on a key. By
 * rendezvous hashing over those heard of lately, so that all agree without talk
 * unless they hear of different ones. `origins`: names of the instances, and of
 * zones that are known only as a whole, after [[ZONE_PREFIX]].
 */
export function ownsKey(
  key: string,
  {name, zone}: {name: string; zone: string},
  origins: Iterable<string>,
): boolean {
  const score = (origin: string) => hasher.h32(`${key}/${origin}`);
  for (const origin of origins) {
    const own = origin.startsWith(ZONE_PREFIX) ? ZONE_PREFIX + zone : name;
    if (score(origin) > score(own)) return false;
  }
  return true;
}
