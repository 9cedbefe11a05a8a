import type {AcceptedConfiguration} from './statemachine.js';

/** A configuration as a peer passes it on. */
export interface PeerConfiguration extends AcceptedConfiguration {
  /** The peer had read the stream up to and including this offset. */
  upTo: number;
}

/** What peers answered to the question for a newer configuration. */
export interface PeerFetchResult {
  /** How many peers answered, with or without something newer. */
  answered: number;
  /** The newest configuration above the version asked for, if there is one. */
  newer?: PeerConfiguration;
}

/** The rest of the fleet, as far as configuration depends on it. */
export interface ConfigurationPeers {
  /** Newest version that any live peer says it has; 0 if none says so. */
  newestVersion(): number;
  /**
   * Position of this instance among the live ones, in an order that depends on
   * `key` and is the same everywhere. The first has 0.
   */
  rank(key: string): number;
  /** Live instances, this one included. */
  size(): number;
  /** Asks a few peers for the newest configuration above a version. */
  fetch(above: number): Promise<PeerFetchResult>;
}

/** The peers of an instance that has none. */
export const noPeers: ConfigurationPeers = {
  newestVersion: () => 0,
  rank: () => 0,
  size: () => 1,
  fetch: () => Promise.resolve({answered: 0}),
};
