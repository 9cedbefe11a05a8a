import type {AcceptedConfiguration} from './statemachine.js';

/** An accepted configuration received from a peer. */
export interface PeerConfiguration extends AcceptedConfiguration {
  /** The peer had read the stream up to and including this offset. */
  upTo: number;
}

/** The result of asking peers for a newer configuration. */
export interface PeerFetchResult {
  /** Number of peers that answered, with a newer configuration or without. */
  answered: number;
  /** The newest configuration received, if any is newer. */
  newer?: PeerConfiguration;
}

/** Access to the other instances of the fleet and their configurations. */
export interface ConfigurationPeers {
  /** Newest version that a live peer has reported; 0 if there is none. */
  newestVersion(): number;
  /**
   * Rank of this instance among the live ones, starting at 0. The order depends
   * on `key` and is the same on every instance.
   */
  rank(key: string): number;
  /** Number of live instances, including this one. */
  size(): number;
  /** Asks a few peers for a configuration newer than version `above`. */
  fetch(above: number): Promise<PeerFetchResult>;
}

/** Used by an instance that has no peers. */
export const noPeers: ConfigurationPeers = {
  newestVersion: () => 0,
  rank: () => 0,
  size: () => 1,
  fetch: () => Promise.resolve({answered: 0}),
};
