import xxhash from 'xxhash-wasm';
import {VersionMix} from './softwareversions.js';

const hasher = await xxhash();

/** The upstreams that can go on with a stream, as one of them began it. */
export interface StreamOrigin {
  service: string;
  softwareVersion: string;
}

/** Why nobody can tell where a stream began. */
export enum UnknownReason {
  /** Several versions serve or served lately, and no instance has a record. */
  SeveralVersions = 'several_versions',
  /** Instances name different versions that were alone earlier. */
  Disagreement = 'disagreement',
  /** The entries of the upstreams are out of date. */
  OutdatedEntries = 'outdated_entries',
  /** The versions in the store weren't read yet. */
  UnreadStore = 'unread_store',
  /** The store has no record that tells of all earlier versions. */
  NoRecord = 'no_record',
  /** Several versions; this process stood still, so it may have missed a record. */
  Stalled = 'stalled',
}

/** What is known of the origin of a stream. */
export type OriginLookup =
  | {type: 'known'; origin: StreamOrigin}
  /** Every upstream has the software version that began it. */
  | {type: 'any'}
  | {type: 'unknown'; reason: UnknownReason};

/** What a conclusion on a stream without record was drawn from, for the log. */
export interface LookupBasis {
  /** Mix of versions that this instance sees. */
  mix: VersionMix;
  /** The versions that may have begun the stream, as far as known here. */
  softwareVersions: string[];
  /** The versions in the store; absent if they weren't read. */
  recorded?: string[];
  /** Number of instances that were asked. */
  asked: number;
  /** Mixes that those see which answered. */
  answers: VersionMix[];
  /** Time since this process stood still, in ms; absent if it did not. */
  stalledMs?: number;
}

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
  /** Whether this instance may have missed a record while it stood still. */
  hasStalled: boolean;
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
  hasStalled,
}: VersionKnowledge): OriginLookup {
  if (own === VersionMix.Sole) return {type: 'any'};
  const [origin] = before;
  if (origin !== undefined) {
    return before.every(other => isSameOrigin(origin, other))
      ? {type: 'known', origin}
      : unknown(UnknownReason.Disagreement);
  }
  const severalVersions = unknown(
    hasStalled ? UnknownReason.Stalled : UnknownReason.SeveralVersions,
  );
  switch (own) {
    case VersionMix.Mixed:
      return severalVersions;
    case VersionMix.Outdated:
      // A version that joined since may have begun it, by another instance.
      if (others.includes(VersionMix.Mixed)) return severalVersions;
      return others.every(
        mix => mix === VersionMix.Unread || mix === VersionMix.Unrecorded,
      )
        ? unknown(UnknownReason.OutdatedEntries)
        : {type: 'any'};
    case VersionMix.Unread:
      return others.includes(VersionMix.Sole)
        ? {type: 'any'}
        : unknown(UnknownReason.UnreadStore);
    case VersionMix.Unrecorded:
      return others.includes(VersionMix.Sole)
        ? {type: 'any'}
        : unknown(UnknownReason.NoRecord);
    case VersionMix.Unsettled:
      if (others.includes(VersionMix.Sole)) return {type: 'any'};
      return others.includes(VersionMix.Mixed)
        ? severalVersions
        : {type: 'any'};
  }
}

function unknown(reason: UnknownReason): OriginLookup {
  return {type: 'unknown', reason};
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
