import xxhash from 'xxhash-wasm';
import {VersionMix} from './softwareversions.js';

const hasher = await xxhash();

/** The upstreams that can go on with a stream, as one of them began it. */
export interface StreamOrigin {
  service: string;
  softwareVersion: string;
}

/** What is known of the origin of a stream. */
export type OriginLookup =
  | {type: 'known'; origin: StreamOrigin}
  /** Every upstream has the software version that began it. */
  | {type: 'any'}
  | {type: 'unknown'};

/**
 * Concludes from what this instance and others know that have no record of a
 * stream. Where versions are mixed, every stream leaves a record; one that has
 * none can't be told from one whose records were lost.
 */
export function concludeWithoutRecord(
  own: VersionMix,
  others: readonly VersionMix[],
): OriginLookup {
  switch (own) {
    case VersionMix.Sole:
      return {type: 'any'};
    case VersionMix.Mixed:
      return {type: 'unknown'};
    case VersionMix.Outdated:
      // A version that joined since may have begun it, by another instance.
      return others.every(mix => mix === VersionMix.Unread) ||
        others.includes(VersionMix.Mixed)
        ? {type: 'unknown'}
        : {type: 'any'};
    case VersionMix.Unread:
      return others.includes(VersionMix.Sole)
        ? {type: 'any'}
        : {type: 'unknown'};
    case VersionMix.Unsettled:
      if (others.includes(VersionMix.Sole)) return {type: 'any'};
      return others.includes(VersionMix.Mixed)
        ? {type: 'unknown'}
        : {type: 'any'};
  }
}

/**
 * Identifies a stream by the request that began it and its caller's API key, as
 * callers choose the ids of their requests. The key can't be told from it.
 */
export function streamKey(apiKey: string | undefined, request: string): string {
  return hasher.h64ToString(`${apiKey ?? ''}/${request}`);
}
