import {ConfigurationFollower, CheckpointWriter} from '../config/index.js';
import {ConfigurationExchange} from '../instance/index.js';
import {componentLogger, Component} from '../telemetry/index.js';
import type {SharedDependencies} from './shareddependencies.js';
import type {PeerNetwork} from './peernetwork.js';

/** The parts that keep the configuration in force. */
export interface Configuring {
  follower: ConfigurationFollower;
  start(): void;
  stop(): Promise<void>;
}

/** Constructs what follows and renews the configuration. */
export function createConfigurationSync(
  base: SharedDependencies,
  peers: PeerNetwork,
): Configuring {
  const {log, timer, random, settings} = base;
  const {membership} = peers;
  const logger = componentLogger(base.root, Component.Config);
  const passing = new ConfigurationExchange(membership, peers.client, random);
  const follower = new ConfigurationFollower(
    log,
    timer,
    logger,
    passing,
    random,
  );
  passing.serve(peers.server, follower);
  const renewal = new CheckpointWriter({
    log,
    follower,
    peers: passing,
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
