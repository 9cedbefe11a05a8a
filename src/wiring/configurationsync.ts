import {Follower, Renewal} from '../config/index.js';
import {Passing} from '../instance/index.js';
import {logOf, Part} from '../telemetry/index.js';
import type {SharedDependencies} from './shareddependencies.js';
import type {PeerNetwork} from './peernetwork.js';

/** Components that keep the configuration of this instance up to date. */
export interface ConfigurationSync {
  /** Reads configurations from the log and from peers. */
  follower: Follower;
  start(): void;
  stop(): Promise<void>;
}

/**
 * Creates the components that read the configuration, pass it on to peers, and
 * write checkpoints of it to the log before the log drops it.
 */
export function createConfigurationSync(
  shared: SharedDependencies,
  peerNetwork: PeerNetwork,
): ConfigurationSync {
  const {log, timer, random, settings} = shared;
  const {membership} = peerNetwork;
  const logger = logOf(shared.root, Part.Config);
  const configurationPeers = new Passing(
    membership,
    peerNetwork.client,
    random,
  );
  const follower = new Follower(log, timer, logger, configurationPeers, random);
  configurationPeers.serve(peerNetwork.server, follower);
  const renewal = new Renewal({
    log,
    follower,
    peers: configurationPeers,
    timer,
    logger,
    retentionMs: settings.logRetentionMs,
  });
  follower.subscribe(({version}) =>
    membership.report({configurationVersion: version}),
  );
  membership.subscribeVersion(version => {
    void follower.wake(version);
  });
  return {
    follower,
    start: () => {
      follower.start();
      renewal.start();
    },
    stop: async () => {
      await renewal.stop();
      await follower.stop();
    },
  };
}
