import {ConfigurationFollower, CheckpointWriter} from '../config/index.js';
import {ConfigurationExchange} from '../instance/index.js';
import {componentLogger, Component} from '../telemetry/index.js';
import type {SharedDependencies} from './shareddependencies.js';
import type {PeerNetwork} from './peernetwork.js';

/** Components that keep the configuration of this instance up to date. */
export interface ConfigurationSync {
  /** Reads configurations from the log and from peers. */
  follower: ConfigurationFollower;
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
  const logger = componentLogger(shared.root, Component.Config);
  const configurationPeers = new ConfigurationExchange(
    membership,
    peerNetwork.client,
    random,
  );
  const follower = new ConfigurationFollower(
    log,
    timer,
    logger,
    configurationPeers,
    random,
  );
  configurationPeers.serve(peerNetwork.server, follower);
  const renewal = new CheckpointWriter({
    log,
    follower,
    peers: configurationPeers,
    timer,
    logger,
    retentionMs: settings.logRetentionMs,
  });
  follower.subscribe(({version}) =>
    membership.updateStatus({configurationVersion: version}),
  );
  membership.subscribeVersion(version => {
    void follower.catchUpTo(version);
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
