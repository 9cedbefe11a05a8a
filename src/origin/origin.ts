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

/** What instances that have no record of a stream know of its service. */
export interface VersionKnowledge {
  /** Mix of versions that this instance sees. */
  own: VersionMix;
  /** Mixes that other instances see. */
  others: readonly VersionMix[];
  /**
   * Versions that were alone until another one joined, by instances that would
   * have been told of a stream that began since.
   */
  before: readonly StreamOrigin[];
}

/**
 * Concludes where a stream without record can go on. Where versions are mixed,
 * every stream leaves a record: one that has none began earlier, if an instance
 * would have been told of it, or else its records were lost.
 */
export function concludeWithoutRecord({
  own,
  others,
  before,
}: VersionKnowledge): OriginLookup {
  if (own === VersionMix.Sole) return {type: 'any'};
  const [origin] = before;
  if (origin !== undefined) {
    return before.every(other => isSameOrigin(origin, other))
      ? {type: 'known', origin}
      : {type: 'unknown'};
  }
  switch (own) {
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

function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.service === b.service && a.softwareVersion === b.softwareVersion;
}

/**
 * Identifies a stream by the request that began it and its caller's API key, as
 * callers choose the ids of their requests. The key can't be told from it.
 */
export function streamKey(apiKey: string | undefined, request: string): string {
  return hasher.h64ToString(`${apiKey ?? ''}/${request}`);
}
